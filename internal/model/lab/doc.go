// Package lab plays experiments on the model of the fleet: an experiment is a scenario, values of its keys to go through and
// seeds; every arm is played with the same seeds, so that arms are compared seed by seed. It owns the form of experiment
// files, the statistics and the results as tables, Parquet and one page. It draws nothing and decides nothing about a fleet.
// Start reading at Experiment, then at Run.
package lab

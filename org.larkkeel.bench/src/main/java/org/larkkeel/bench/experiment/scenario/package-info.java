/** The input of an experiment: the scenario file with its traffic, faults and capacity. */
package org.larkkeel.bench.experiment.scenario;

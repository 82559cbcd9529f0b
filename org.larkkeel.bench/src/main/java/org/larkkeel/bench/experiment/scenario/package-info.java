/** What an experiment runs: the scenario file, its traffic, its faults and its capacity. */
package org.larkkeel.bench.experiment.scenario;

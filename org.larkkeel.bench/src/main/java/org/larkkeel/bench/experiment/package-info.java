/** Runs routing policies against fakes in virtual time and compares what they reach. */
package org.larkkeel.bench.experiment;

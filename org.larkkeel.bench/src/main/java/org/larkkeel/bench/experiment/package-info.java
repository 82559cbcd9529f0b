/** Runs routing policies against fakes in virtual time and compares their goodput. */
package org.larkkeel.bench.experiment;

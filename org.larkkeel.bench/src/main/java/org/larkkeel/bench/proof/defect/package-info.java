/** Defects planted into copies of the sources, to show that the proof can fail. */
package org.larkkeel.bench.proof.defect;

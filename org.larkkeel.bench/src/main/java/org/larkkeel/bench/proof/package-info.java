/** The proof under failure: every fault at every step, planted defects, and malformed input. */
package org.larkkeel.bench.proof;

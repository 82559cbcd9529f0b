/**
 * Fault-injection tests of the router in virtual time: every fault at every step of every scenario,
 * and planted defects that these tests must detect.
 */
package org.larkkeel.bench.proof;

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.larkkeel.store.StoreVersion;
import org.testng.annotations.Test;

/** Tests of {@link PeerLead}. */
public class PeerLeadTest {
  private static final long MAX = PeerLead.MAX_LEAD.toNanos();

  private StoreVersion read = version(5);

  private static StoreVersion version(long number) {
    return new StoreVersion(0, number);
  }

  private PeerLead lead() {
    read = version(5);
    return new PeerLead(v -> v.isAfter(read));
  }

  /** Guards against a node that serves by a configuration that it knows to be outdated. */
  @Test
  public void isTooLongIfTheChangeIsNotRead() {
    PeerLead lead = lead();
    assertTrue(lead.reported(version(6), 0));
    assertFalse(lead.reported(version(6), 1));
    assertFalse(lead.isTooLong(MAX - 1));
    assertTrue(lead.isTooLong(MAX));
    read = version(6);
    assertFalse(lead.isTooLong(2 * MAX));
  }

  /** Guards against changes in series, each of which would begin the time anew. */
  @Test
  public void countsFromTheFirstChangeThatIsNotRead() {
    PeerLead lead = lead();
    for (int i = 0; i < 10; i++) {
      lead.reported(version(6 + i), i * MAX / 10);
    }
    assertTrue(lead.isTooLong(MAX));
  }

  @Test
  public void beginsAnewOnceTheEarlierChangesAreRead() {
    PeerLead lead = lead();
    lead.reported(version(6), 0);
    read = version(6);
    assertTrue(lead.reported(version(7), MAX));
    assertFalse(lead.isTooLong(MAX));
    assertTrue(lead.isTooLong(2 * MAX));
  }

  /** Guards against a wrong report that would keep a node from serving. */
  @Test
  public void isIgnoredOnceTheStoreRefutesIt() {
    PeerLead lead = lead();
    lead.reported(new StoreVersion(9, 1), 0);
    lead.refuted();
    lead.reported(new StoreVersion(9, 1), MAX);
    assertFalse(lead.isTooLong(2 * MAX));
  }
}

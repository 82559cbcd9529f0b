/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.membership.Hashes;
import org.testng.annotations.Test;

/** Tests of {@link Ownership}. */
public class OwnershipTest {
  private static final int KEYS = 3_000;

  private static List<HostName> hosts(int count) {
    List<HostName> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      hosts.add(new HostName("host-" + i));
    }
    return hosts;
  }

  /** Compares the owner with a naive computation over all hosts. */
  public static class Differential {
    @Test
    public void ownerHasGreatestWeight() {
      for (int size : new int[] {1, 2, 8, 330}) {
        List<HostName> hosts = hosts(size);
        Ownership ownership = new Ownership(hosts.reversed());
        for (int k = 0; k < KEYS; k++) {
          String key = "upstream-" + k;
          assertEquals(ownership.ownerOf(key), Optional.of(naiveOwner(hosts, key)));
        }
      }
    }

    private static HostName naiveOwner(List<HostName> hosts, String key) {
      return hosts.stream()
          .max((a, b) -> Long.compareUnsigned(weight(a, key), weight(b, key)))
          .orElseThrow();
    }

    private static long weight(HostName host, String key) {
      return Hashes.mix(Hashes.of(host.value()) ^ Hashes.of(key));
    }
  }

  /** Tests of which keys move when a host is removed, and of their distribution. */
  public static class Movement {
    @Test
    public void onlyKeysOfLostHostMove() {
      List<HostName> hosts = hosts(8);
      Ownership before = new Ownership(hosts);
      HostName lost = hosts.removeFirst();
      Ownership after = new Ownership(hosts);
      for (int k = 0; k < KEYS; k++) {
        HostName owner = before.ownerOf("key-" + k).orElseThrow();
        if (!owner.equals(lost)) {
          assertEquals(after.ownerOf("key-" + k), Optional.of(owner));
        }
      }
    }

    @Test
    public void keysAreSpreadEvenly() {
      Ownership ownership = new Ownership(hosts(8));
      Map<HostName, Integer> counts = new HashMap<>();
      for (int k = 0; k < KEYS; k++) {
        counts.merge(ownership.ownerOf("key-" + k).orElseThrow(), 1, Integer::sum);
      }
      for (int count : counts.values()) {
        assertTrue(Math.abs(count - KEYS / 8) < KEYS / 8 / 4, "keys of a host: " + count);
      }
    }

    @Test
    public void noOwnerWithoutHosts() {
      assertEquals(new Ownership(List.of()).ownerOf("key"), Optional.empty());
    }
  }
}

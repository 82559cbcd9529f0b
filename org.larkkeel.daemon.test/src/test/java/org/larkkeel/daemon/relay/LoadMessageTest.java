/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Random;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.Test;

/** What nodes tell each other of their load. */
public class LoadMessageTest {
  private static final LoadMessage MESSAGE =
      new LoadMessage(
          new HostName("node-1"),
          ImmutableMap.of(new UpstreamName("i-1"), 17_000L, new UpstreamName("i-2"), 3L),
          ImmutableSet.of(new UpstreamName("i-3")),
          new FeedChanges(7, 12));

  /** Messages that were written by a node. */
  public static class Written {
    @Test
    public void isReadAsItWasWritten() {
      assertEquals(LoadMessage.fromBytes(MESSAGE.toBytes()), Optional.of(MESSAGE));
    }
  }

  /** Bytes from anywhere. */
  public static class Garbage {
    @Test
    public void isNoMessage() {
      Random random = new Random(1);
      for (int i = 0; i < 2_000; i++) {
        byte[] bytes = new byte[random.nextInt(60)];
        random.nextBytes(bytes);
        LoadMessage.fromBytes(bytes)
            .ifPresent(m -> assertEquals(LoadMessage.fromBytes(m.toBytes()), Optional.of(m)));
      }
    }

    @Test
    public void isNoMessageWhenItWasCut() {
      byte[] whole = MESSAGE.toBytes();
      for (int length = 0; length < whole.length; length++) {
        byte[] cut = java.util.Arrays.copyOf(whole, length);
        assertEquals(LoadMessage.fromBytes(cut), Optional.empty(), "length " + length);
      }
    }
  }
}

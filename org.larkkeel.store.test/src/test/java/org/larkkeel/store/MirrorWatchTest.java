/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Tests of the watches of a {@link CollectionMirror}, and of its confirmations. */
public class MirrorWatchTest {
  /** Watches whose connection has become unresponsive without being closed. */
  public static class UnresponsiveWatch {
    private static final Duration NEVER = Duration.ofHours(1);

    @Test
    public void collectionIsListedAgainWhenPeerReportsChange() {
      MirrorRig w = new MirrorRig(NEVER);
      StoreVersion change = w.create("a");
      w.time.advance(Duration.ofSeconds(5));
      assertEquals(w.names, Set.of());
      w.mirror.changeSeenByPeer(change);
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a"));
      assertEquals(w.mirror.changeVersion(), change);
      assertFalse(w.mirror.isFailing());
    }

    @Test
    public void newWatchDeliversFurtherChanges() {
      MirrorRig w = new MirrorRig(NEVER);
      w.mirror.changeSeenByPeer(w.create("a"));
      w.api.setWatchLag(Duration.ofMillis(1));
      w.time.advance(Duration.ofSeconds(1));
      w.create("b");
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a", "b"));
    }
  }

  /** Watches that work, but deliver with a delay. */
  public static class LaggingWatch {
    /** Guards against the end of a watch whose large answer is on its way over a slow link. */
    @Test
    public void isKeptWhileItReceivesAnAnswer() {
      MirrorRig w = new MirrorRig(Duration.ZERO);
      w.api.setTransferTime(Duration.ofMillis(900));
      w.mirror.changeSeenByPeer(w.create("a"));
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a"));
      assertEquals(w.mirror.losses(), 0);
    }

    @Test
    public void isKeptWhenReportedChangeArrives() {
      MirrorRig w = new MirrorRig(Duration.ofMillis(200));
      StoreVersion change = w.create("a");
      w.mirror.changeSeenByPeer(change);
      w.api.setReadFaults(() -> Fault.REFUSE);
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("a"));
      assertFalse(w.mirror.isFailing(), "no list was requested");
      assertFalse(change.isAfter(w.mirror.changeVersion()));
    }

    @Test
    public void isKeptWhenReportedChangeIsKnown() {
      MirrorRig w = new MirrorRig(Duration.ofMillis(1));
      StoreVersion change = w.create("a");
      w.time.advance(Duration.ofSeconds(1));
      w.api.setReadFaults(() -> Fault.REFUSE);
      w.mirror.changeSeenByPeer(change);
      w.time.advance(Duration.ofSeconds(2));
      assertFalse(w.mirror.isFailing());
    }
  }

  /** Confirmations that the copy is up to date. */
  public static class Confirmed {
    /** Guards against a confirmation that waits for the time of a watch. */
    @Test
    public void completesSoonWithoutAnyChange() {
      MirrorRig w = new MirrorRig(Duration.ZERO);
      CompletableFuture<Void> confirmation = w.mirror.confirm();
      w.time.advance(Duration.ofMillis(100));
      assertTrue(confirmation.isDone());
      assertEquals(w.mirror.losses(), 0);
    }

    /** Guards against a confirmation by a watch whose connection delivers nothing. */
    @Test
    public void completesWithTheChangesThatAnUnresponsiveWatchHasMissed() {
      MirrorRig w = new MirrorRig(Duration.ZERO);
      w.api.makeConnectionsUnresponsive();
      w.create("a");
      w.time.advance(Duration.ofSeconds(5));
      assertEquals(w.names, Set.of());
      w.mirror.confirm().thenRun(() -> assertEquals(w.names, Set.of("a")));
      w.time.advance(Duration.ofMillis(500));
      assertEquals(w.names, Set.of("a"));
    }

    /** Guards against a large answer that is begun anew for each confirmation. */
    @Test
    public void doesNotEndTheWatchThatReceivesAnAnswer() {
      MirrorRig w = new MirrorRig(Duration.ZERO);
      w.api.endWatchesWithEvents();
      w.api.setTransferTime(Duration.ofMillis(900));
      w.create("a");
      w.time.advance(Duration.ofMillis(100));
      final int watches = w.store.watches();
      CompletableFuture<Void> confirmation = w.mirror.confirm();
      w.time.advance(Duration.ofMillis(600));
      assertFalse(confirmation.isDone());
      assertEquals(w.store.watches(), watches);
      w.time.advance(Duration.ofMillis(400));
      assertTrue(confirmation.isDone());
      assertEquals(w.names, Set.of("a"));
    }

    @Test
    public void doesNotCompleteWhileTheStoreIsUnreachable() {
      MirrorRig w = new MirrorRig(Duration.ZERO);
      w.store.setOutage(true);
      CompletableFuture<Void> confirmation = w.mirror.confirm();
      w.time.advance(Duration.ofSeconds(5));
      assertFalse(confirmation.isDone());
      w.store.setOutage(false);
      w.time.advance(Duration.ofSeconds(3));
      assertTrue(confirmation.isDone());
    }
  }
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.event.Event;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.peer.SlotLease;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the router is told of exactly the slots that are leased for it. */
public class SlotGrantsTest {
  private static final UpstreamName ENGINE = new UpstreamName("decode-1");

  /** The slots of one engine, from the first want to the last. */
  public static class Wants implements SlotGrants.Leases {
    private final List<CompletableFuture<SlotLease>> open = new ArrayList<>();
    private final List<SlotLease> released = new ArrayList<>();
    private final List<Integer> told = new ArrayList<>();
    private long nextId;
    private SlotGrants grants;

    @BeforeMethod
    void start() {
      open.clear();
      released.clear();
      told.clear();
      grants = new SlotGrants(this, this::publish, () -> 0);
    }

    @Test
    public void asksOnceForWhatIsMissing() {
      want(3);
      want(3);
      assertEquals(open.size(), 3);
    }

    @Test
    public void tellsOfEachLeaseThatIsHeld() {
      want(2);
      answerAll();
      assertEquals(told, List.of(1, 2));
    }

    @Test
    public void givesBackWhatIsNoLongerWanted() {
      want(3);
      answerAll();
      want(1);
      assertEquals(released.size(), 2);
      assertEquals(told.getLast(), Integer.valueOf(1));
    }

    @Test
    public void givesBackWhatComesTooLate() {
      want(1);
      want(0);
      answerAll();
      assertEquals(released.size(), 1);
      assertEquals(told, List.of());
    }

    @Test
    public void asksAgainAfterOwnerHadNone() {
      want(1);
      open.removeFirst()
          .completeExceptionally(new LarkkeelException(ErrorKind.OVERLOADED, "no slot"));
      want(1);
      assertEquals(open.size(), 1);
      assertEquals(told, List.of());
    }

    private void want(int slots) {
      grants.accept(new Effect.WantSlots(ENGINE, slots));
    }

    private void answerAll() {
      List<CompletableFuture<SlotLease>> answered = List.copyOf(open);
      open.clear();
      answered.forEach(a -> a.complete(new SlotLease(ENGINE.value(), nextId++)));
    }

    private void publish(Event event) {
      if (event instanceof Event.SlotsGranted granted) {
        told.add(granted.slots());
      }
    }

    @Override
    public CompletableFuture<SlotLease> acquire(String key, int priority, Duration patience) {
      CompletableFuture<SlotLease> answer = new CompletableFuture<>();
      open.add(answer);
      return answer;
    }

    @Override
    public void release(SlotLease lease) {
      released.add(lease);
    }

    @Override
    public void updateCapacity(String key, int slots, int running) {}
  }
}

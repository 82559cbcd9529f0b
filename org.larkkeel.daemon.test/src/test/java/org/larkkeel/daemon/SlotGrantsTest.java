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

/** Tests that {@link SlotGrants} grants the router exactly the slots that are leased for it. */
public class SlotGrantsTest {
  private static final UpstreamName ENGINE = new UpstreamName("decode-1");

  /** The leases of one engine while the number of slots that the router requests changes. */
  public static class WantedSlots implements SlotGrants.LeaseClient {
    private final List<CompletableFuture<SlotLease>> pending = new ArrayList<>();
    private final List<SlotLease> released = new ArrayList<>();
    private final List<Integer> published = new ArrayList<>();
    private long nextId;
    private SlotGrants grants;

    @BeforeMethod
    void start() {
      pending.clear();
      released.clear();
      published.clear();
      grants = new SlotGrants(this, this::publish, () -> 0);
    }

    @Test
    public void requestsMissingLeasesOnce() {
      setWanted(3);
      setWanted(3);
      assertEquals(pending.size(), 3);
    }

    @Test
    public void publishesEachHeldLease() {
      setWanted(2);
      grantAll();
      assertEquals(published, List.of(1, 2));
    }

    @Test
    public void releasesLeasesAboveWantedNumber() {
      setWanted(3);
      grantAll();
      setWanted(1);
      assertEquals(released.size(), 2);
      assertEquals(published.getLast(), Integer.valueOf(1));
    }

    @Test
    public void releasesLeaseGrantedAfterDemandEnded() {
      setWanted(1);
      setWanted(0);
      grantAll();
      assertEquals(released.size(), 1);
      assertEquals(published, List.of());
    }

    @Test
    public void requestsAgainAfterRefusal() {
      setWanted(1);
      pending
          .removeFirst()
          .completeExceptionally(new LarkkeelException(ErrorKind.OVERLOADED, "no slot"));
      setWanted(1);
      assertEquals(pending.size(), 1);
      assertEquals(published, List.of());
    }

    private void setWanted(int slots) {
      grants.accept(new Effect.WantSlots(ENGINE, slots));
    }

    private void grantAll() {
      List<CompletableFuture<SlotLease>> answered = List.copyOf(pending);
      pending.clear();
      answered.forEach(a -> a.complete(new SlotLease(ENGINE.value(), nextId++)));
    }

    private void publish(Event event) {
      if (event instanceof Event.SlotsGranted granted) {
        published.add(granted.slots());
      }
    }

    @Override
    public CompletableFuture<SlotLease> acquire(String key, int priority, Duration timeout) {
      CompletableFuture<SlotLease> answer = new CompletableFuture<>();
      pending.add(answer);
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

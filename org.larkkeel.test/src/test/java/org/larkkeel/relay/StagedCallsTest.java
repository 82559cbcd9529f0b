/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/** Tests of generations with a prefill and a decode stage. */
public class StagedCallsTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final CallSize LARGE = new CallSize(9_000, 8_000, 8_000);

  /** From the arrival of a call to its end. */
  public static class Staged {
    @Test
    public void prefillsThePromptThenHandsItOver() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(w.sent().upstream().name().value(), "read-1");
      assertEquals(w.sent().purpose(), new Purpose.ReadPrompt());
      w.promptRead();
      assertTrue(w.sent().purpose() instanceof Purpose.TakeOver);
      w.began();
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void prefillsShortPromptsWhereTheyRun() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, new CallSize(100, 1_000, 1_000));
      assertEquals(w.sent().purpose(), new Purpose.Run());
    }

    @Test
    public void prefillsNoPromptWithoutReservationForItsRun() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, LARGE);
      w.arrive("/stream/b", 14_000, LARGE);
      assertEquals(w.sendCount(), 2);
      w.arrive("/stream/c", 14_000, LARGE);
      assertEquals(w.sendCount(), 2);
      w.pass(250);
      assertEquals(w.refusal(), ErrorKind.OVERLOADED);
      assertTrue(w.refused().retryAfterMillis() >= 1_000);
      assertTrue(w.refused().retryAfterMillis() <= 14_000 / 3);
    }

    @Test
    public void isNotBlockedByAnotherServiceThatIsFull() {
      RelayWorld w = RelayWorld.withDefaults();
      w.add("other-1", RelayWorld.OTHER, Stage.DECODE);
      w.applyDiscoveryList();
      w.arrive("/stream/a", 14_000, LARGE);
      w.arrive("/stream/b", 14_000, LARGE);
      w.arrive("/stream/c", 14_000, LARGE);
      final int before = w.sendCount();
      w.arrive("/other/d", 14_000, LARGE);
      assertEquals(w.sendCount(), before + 1);
      RequestId waits = w.arrive("/other/e", 14_000, LARGE);
      assertEquals(w.sendCount(), before + 1);
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      assertEquals(w.sent().call(), waits);
    }

    @Test
    public void placesWaitingCallsAsSoonAsMemoryIsFree() {
      RelayWorld w = RelayWorld.withDefaults();
      RequestId first = w.arrive("/stream/a", 14_000, LARGE);
      w.arrive("/stream/b", 14_000, LARGE);
      RequestId waits = w.arrive("/stream/c", 14_000, LARGE);
      w.pass(100);
      w.apply(new RelayEvent.CallerLeft(w.now(), first));
      assertEquals(w.sent().call(), waits);
    }

    @Test
    public void holdsRetriedCallsForLonger() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, LARGE);
      w.arrive("/stream/b", 14_000, LARGE);
      w.arrive("/stream/c", 9_000, LARGE);
      w.pass(1_000);
      assertFalse(w.isRefused());
    }

    @Test
    public void countsTheLoadOfOtherNodes() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(
          new RelayEvent.LoadHeard(
              w.now(),
              new HostName("other"),
              ImmutableMap.of(RelayWorld.incarnation("run-1"), 17_000L),
              ImmutableSet.of()));
      w.arrive("/stream/a", 14_000, LARGE);
      w.promptRead();
      assertEquals(w.sent().upstream().name().value(), "run-2");
    }

    @Test
    public void refusesWaitingCallsWhenTheNodeDrains() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, LARGE);
      w.arrive("/stream/b", 14_000, LARGE);
      w.arrive("/stream/c", 9_000, LARGE);
      w.apply(new RelayEvent.Draining(w.now()));
      assertEquals(w.of(RelayEffect.Refuse.class).size(), 1);
      assertEquals(w.refusal(), ErrorKind.NOT_READY);
      assertEquals(w.router.inProgress(), 2);
    }

    @Test
    public void holdsRetriedCallsOnlyWhileTheirCallersWait() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, LARGE);
      w.arrive("/stream/b", 14_000, LARGE);
      w.arrive("/stream/c", 12_000, LARGE);
      w.pass(3_000);
      assertEquals(w.refusal(), ErrorKind.OVERLOADED);
    }

    @Test
    public void reservesMemoryThatOtherNodesSeeAfterRandomDelay() {
      RelayWorld w = RelayWorld.withDefaults();
      ImmutableMap<UpstreamIncarnation, Long> full =
          ImmutableMap.of(
              RelayWorld.incarnation("run-1"), 17_000L, RelayWorld.incarnation("run-2"), 17_000L);
      w.apply(new RelayEvent.LoadHeard(w.now(), new HostName("other"), full, ImmutableSet.of()));
      w.arrive("/stream/a", 9_000, LARGE);
      w.apply(
          new RelayEvent.LoadHeard(
              w.now(), new HostName("other"), ImmutableMap.of(), ImmutableSet.of()));
      assertEquals(w.sendCount(), 0);
      w.pass(80);
      assertEquals(w.sendCount(), 1);
    }

    @Test
    public void dropsTheLoadOfUnresponsiveNodes() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(
          new RelayEvent.LoadHeard(
              w.now(),
              new HostName("other"),
              ImmutableMap.of(
                  RelayWorld.incarnation("run-1"),
                  17_000L,
                  RelayWorld.incarnation("run-2"),
                  17_000L),
              ImmutableSet.of()));
      w.pass(2_000);
      w.arrive("/stream/a", 14_000, LARGE);
      assertEquals(w.sendCount(), 1);
    }

    @Test
    public void triesAnotherUpstreamBeforePromptsCountAsLost() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      UpstreamIncarnation first = w.sent().upstream().incarnation();
      w.declined();
      assertTrue(w.sent().purpose() instanceof Purpose.TakeOver);
      assertNotEquals(w.sent().upstream().incarnation(), first);
      UpstreamIncarnation second = w.sent().upstream().incarnation();
      w.declined();
      assertEquals(w.sent().purpose(), w.fetch("read-1"));
      assertEquals(w.sent().upstream().incarnation(), second);
    }

    @Test
    public void prefillsNothingWhereAnotherNodeFoundThatPromptsAreLost() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(
          new RelayEvent.LoadHeard(
              w.now(),
              new HostName("other"),
              ImmutableMap.of(),
              ImmutableSet.of(RelayWorld.incarnation("read-1"))));
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(w.sent().purpose(), new Purpose.Run());
      assertEquals(
          w.router.losingHandles(w.now()),
          ImmutableSet.of(),
          "only losses that this node found are reported");
    }

    @Test
    public void reportsUpstreamsWhosePromptsAreLost() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      w.declined();
      w.declined();
      assertEquals(w.router.losingHandles(w.now()), ImmutableSet.of());
      w.began();
      assertEquals(
          w.router.losingHandles(w.now()), ImmutableSet.of(RelayWorld.incarnation("read-1")));
      w.pass(2_000);
      assertEquals(w.router.losingHandles(w.now()), ImmutableSet.of());
    }

    @Test
    public void doesNotCountPromptsAsLostBecauseUpstreamsAreFull() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      w.declined();
      w.declined();
      w.declined();
      assertEquals(w.router.losingHandles(w.now()), ImmutableSet.of());
      // Upstreams that declined are treated as full for 250 ms; a lost prompt would count for 2 s.
      w.pass(300);
      w.arrive("/stream/b", 14_000, SMALL);
      assertEquals(w.sent().purpose(), new Purpose.ReadPrompt());
    }

    @Test
    public void doesNotAbandonStalledStreamsEarly() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/resume/a", 14_000, SMALL);
      w.promptRead();
      w.pass(2_200);
      assertEquals(w.sendCount(), 2);
      w.pass(100);
      assertEquals(w.sendCount(), 3);
    }

    @Test
    public void prefillsLocallyWhenThePrefillUpstreamIsLost() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.lost();
      assertEquals(w.sent().purpose(), new Purpose.Run());
      w.lost();
      assertEquals(w.refusal(), ErrorKind.UPSTREAM_FAILED);
    }

    @Test
    public void prefillsWhereItRunsWhenPrefillUpstreamsAreOverloaded() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.pass(40);
      w.promptRead();
      w.began();
      w.apply(
          new RelayEvent.LoadHeard(
              w.now(),
              new HostName("other"),
              ImmutableMap.of(RelayWorld.incarnation("read-1"), 25_000L),
              ImmutableSet.of()));
      w.arrive("/stream/b", 14_000, SMALL);
      assertEquals(
          w.sent().purpose(),
          new Purpose.ReadPrompt(),
          "a predicted prefill time of 540 ms is short enough");
      w.apply(
          new RelayEvent.LoadHeard(
              w.now(),
              new HostName("other"),
              ImmutableMap.of(RelayWorld.incarnation("read-1"), 35_000L),
              ImmutableSet.of()));
      w.arrive("/stream/c", 14_000, SMALL);
      assertEquals(
          w.sent().purpose(), new Purpose.Run(), "a predicted prefill time of 740 ms is too long");
    }

    @Test
    public void freesPromptsThatNoUpstreamCanRun() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.leave("run-1");
      w.leave("run-2");
      w.promptRead();
      assertEquals(w.of(RelayEffect.Free.class).size(), 1);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    @Test
    public void placesNothingOnUpstreamsOrderedToChangeStage() {
      RelayWorld w = RelayWorld.withDefaults();
      UpstreamIncarnation ordered = RelayWorld.incarnation("run-1");
      w.apply(new RelayEvent.Ordered(w.now(), ordered, 15_000 * RelayWorld.MILLI));
      assertEquals(
          w.router.loads(),
          ImmutableMap.of(ordered, RelayWorld.MEMORY),
          "the load is reported to other nodes");
      CallSize tiny = new CallSize(100, 1_000, 1_000);
      for (int i = 0; i < 10; i++) {
        w.arrive("/stream/a", 14_000, tiny);
        assertNotEquals(w.sent().upstream().incarnation(), ordered);
      }
      w.apply(new RelayEvent.OrderRefused(w.now(), ordered));
      w.arrive("/stream/b", 14_000, tiny);
      assertEquals(w.sent().upstream().incarnation(), ordered);
    }

    @Test
    public void placesWorkOnUpstreamsThatChangedStage() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(
          new RelayEvent.Ordered(
              w.now(), RelayWorld.incarnation("read-1"), 15_000 * RelayWorld.MILLI));
      w.add("read-1", RelayWorld.MODEL, Stage.DECODE);
      w.applyDiscoveryList();
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void triesUpstreamsThatDeclineIncreasinglySeldom() {
      RelayWorld w = RelayWorld.withDefaults();
      w.leave("run-2");
      int attempts = 0;
      for (int i = 0; i < 60; i++) {
        w.arrive("/stream/a", 9_000, new CallSize(100, 1_000, 1_000));
        w.pass(50);
        if (w.sendCount() > attempts) {
          attempts = w.sendCount();
          w.declined();
        }
      }
      assertTrue(attempts >= 4 && attempts <= 6, "asked " + attempts + " times in 3 s");
    }

    @Test
    public void reservesNothingAtUnreachableUpstreamsWhileOthersAreFull() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      final UpstreamIncarnation unreachable = w.sent().upstream().incarnation();
      w.notSent();
      w.arrive("/stream/b", 14_000, LARGE);
      final int before = w.sendCount();
      w.arrive("/stream/c", 14_000, LARGE);
      assertEquals(w.sendCount(), before, "the upstream that answers is full");
      w.pass(100);
      assertTrue(
          w.of(RelayEffect.Send.class).stream()
              .skip(2)
              .noneMatch(s -> s.upstream().incarnation().equals(unreachable)));
    }

    @Test
    public void waitsForReservationWhenItsUpstreamIsLost() {
      RelayWorld w = RelayWorld.withDefaults();
      final RequestId first = w.arrive("/stream/a", 14_000, LARGE);
      w.promptRead();
      w.began();
      w.arrive("/stream/b", 14_000, LARGE);
      w.promptRead();
      w.notSent();
      final int before = w.sendCount();
      w.pass(50);
      assertEquals(w.sendCount(), before, "nothing is placed on a full upstream");
      w.apply(new RelayEvent.CallerLeft(w.now(), first));
      assertEquals(w.sendCount(), before + 1);
      assertFalse(w.isRefused());
    }

    @Test
    public void treatsUpstreamsThatDeclineAsFull() {
      CallSize tiny = new CallSize(100, 1_000, 1_000);
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, tiny);
      final UpstreamIncarnation full = w.sent().upstream().incarnation();
      w.declined();
      w.arrive("/stream/b", 14_000, LARGE);
      w.arrive("/stream/c", 14_000, tiny);
      assertNotEquals(
          w.sent().upstream().incarnation(), full, "even though its known load is lower");
      w.pass(300);
      w.arrive("/stream/d", 14_000, tiny);
      assertEquals(w.sent().upstream().incarnation(), full);
    }

    @Test
    public void countsGeneratedOutput() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      w.began();
      UpstreamIncarnation upstream = w.sent().upstream().incarnation();
      final long before = w.router.loads().get(upstream);
      w.apply(new RelayEvent.Progressed(w.now(), w.sent().attempt(), 90));
      assertTrue(w.router.loads().get(upstream) > before);
    }
  }

  /** Prefills that count against the retry budget. */
  public static class Budget {
    // Guards against a second prefill of a call that is not counted as an arrival, so that the runs
    // of such calls exceed the retry budget.
    @Test
    public void countsEachPrefillAfterTheFirst() {
      RelayWorld w = new RelayWorld(0);
      w.configure(1, RelayWorld.rules());
      w.add("read-1", RelayWorld.MODEL, Stage.PREFILL);
      w.add("run-1", RelayWorld.MODEL, Stage.DECODE);
      w.applyDiscoveryList();
      w.arrive("/stream/a", 14_000, LARGE);
      assertEquals(w.sent().purpose(), new Purpose.ReadPrompt());
      w.remove("run-1");
      w.promptRead();
      assertEquals(w.sendCount(), 1);
      w.add("run-2", RelayWorld.MODEL, Stage.DECODE);
      w.applyDiscoveryList();
      w.pass(100);
      assertEquals(w.sendCount(), 2);
      assertEquals(w.sent().purpose(), new Purpose.ReadPrompt());
      w.promptRead();
      assertEquals(w.sendCount(), 2, "a run after two prefills is a retry");
    }
  }
}

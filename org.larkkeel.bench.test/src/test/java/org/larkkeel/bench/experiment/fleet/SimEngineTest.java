/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.larkkeel.bench.experiment.fake.Timeline;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.larkkeel.relay.UpstreamPath;
import org.testng.annotations.Test;

/** Tests of {@link SimEngine} against times and sums calculated by hand. */
public class SimEngineTest {
  private static final double NANOS_PER_MILLI = 1e6;
  private static final UpstreamName PREFILL_ENGINE = new UpstreamName("reads");
  private static final UpstreamName DECODE_ENGINE = new UpstreamName("runs");

  /** One engine of each stage, with a record of their messages. */
  private static final class Fixture implements Job.Sender {
    final Timeline time = new Timeline(0);
    final TokenLedger ledger = new TokenLedger();
    final Map<Long, Double> endMillis = new HashMap<>();
    final List<Long> declined = new ArrayList<>();
    final List<Double> eventMillis = new ArrayList<>();
    final Map<Long, String> handles = new HashMap<>();
    final SimEngine prefillEngine;
    final SimEngine decodeEngine;

    Fixture(int slots, int queue, long memory) {
      FleetScenario.Engines spec =
          new FleetScenario.Engines(
              1, 1, slots, queue, memory, 16, 2, 1, 10, 2_048, 1, 500, 1, 2_500);
      prefillEngine = new SimEngine(time, ledger, spec, Stage.PREFILL);
      decodeEngine = new SimEngine(time, ledger, spec, Stage.DECODE);
    }

    Job job(long id, Purpose purpose, int prompt, int output) {
      return new Job(
          this,
          new AttemptId(id),
          DECODE_ENGINE,
          UpstreamPath.DIRECT,
          purpose,
          prompt,
          output,
          false);
    }

    Job decode(long id, int prompt, int output) {
      Job job = job(id, new Purpose.Run(), prompt, output);
      decodeEngine.submit(job);
      return job;
    }

    Job prefill(long id, int prompt) {
      Job job = job(id, new Purpose.ReadPrompt(), prompt, 0);
      prefillEngine.submit(job);
      return job;
    }

    Job takeOver(long id, String handle, int prompt, int output) {
      RelayUpstream source =
          new RelayUpstream(
              UpstreamIncarnation.unknown(PREFILL_ENGINE),
              new ServiceName("model"),
              "127.0.0.1:80",
              new DataCentreName("dc-1"),
              1,
              Stage.PREFILL,
              false);
      Job job = job(id, new Purpose.TakeOver(source, handle), prompt, output);
      decodeEngine.submit(job);
      return job;
    }

    double nowMillis() {
      return time.now() / NANOS_PER_MILLI;
    }

    void advanceMillis(double millis) {
      time.runUntil(time.now() + (long) (millis * NANOS_PER_MILLI));
    }

    @Override
    public void reply(Job job, LongFunction<RelayEvent> event) {
      declined.add(job.attempt.value());
    }

    @Override
    public void noticed(Job job, long sentAt, RateLimitNotice rate) {}

    @Override
    public void promptRead(Job job, String handle) {
      endMillis.put(job.attempt.value(), nowMillis());
      handles.put(job.attempt.value(), handle);
    }

    @Override
    public void event(Job job, boolean first) {
      eventMillis.add(nowMillis());
    }

    @Override
    public void complete(Job job, LongFunction<RelayEvent> event) {
      endMillis.put(job.attempt.value(), nowMillis());
      job.settle(PrefillUse.USED);
    }

    @Override
    public SimEngine engine(UpstreamName id) {
      return id.equals(PREFILL_ENGINE) ? prefillEngine : decodeEngine;
    }
  }

  private static void assertAt(Double actual, double expected) {
    assertEquals(actual, expected, 0.01);
  }

  /** Duration of prefills, decode steps and transfers. */
  public static class Times {
    @Test
    public void promptsArePrefilledInChunksInSequence() {
      Fixture fixture = new Fixture(4, 2, 100_000);
      fixture.prefill(1, 3_048);
      fixture.prefill(2, 1_000);
      fixture.advanceMillis(450);
      // 2,048 and 1,000 tokens at 10 per millisecond, then 1,000 tokens of the second prompt.
      assertAt(fixture.endMillis.get(1L), 304.8);
      assertAt(fixture.endMillis.get(2L), 404.8);
    }

    @Test
    public void decodeEnginesPrefillAtHalfTheSpeed() {
      Fixture fixture = new Fixture(4, 2, 100_000);
      fixture.decode(1, 1_000, 3);
      fixture.advanceMillis(300);
      // 1,000 tokens at 5 per millisecond, then three steps of 2 + 1 ms.
      assertAt(fixture.eventMillis.getFirst(), 203);
      assertAt(fixture.endMillis.get(1L), 209);
    }

    @Test
    public void stepsTakeLongerWithMoreRequests() {
      Fixture fixture = new Fixture(4, 2, 100_000);
      fixture.decode(1, 5, 4);
      fixture.decode(2, 5, 4);
      fixture.advanceMillis(100);
      // The first prefill takes 1 ms; the first decode step, with the second prefill, 3 + 1 ms;
      // then three steps with both requests 4 ms each, and the last of the second request 3 ms.
      assertAt(fixture.endMillis.get(1L), 17);
      assertAt(fixture.endMillis.get(2L), 20);
    }

    @Test
    public void promptTransfersUseTheLinkOfTheirSourceInSequence() {
      Fixture fixture = new Fixture(4, 2, 100_000);
      fixture.prefill(1, 1_000);
      fixture.prefill(2, 1_000);
      fixture.advanceMillis(200);
      fixture.takeOver(3, fixture.handles.get(1L), 1_000, 1);
      fixture.takeOver(4, fixture.handles.get(2L), 1_000, 1);
      fixture.advanceMillis(100);
      // Transfers of 1 ms each, one after the other; a step of 3 ms.
      assertAt(fixture.endMillis.get(3L), 204);
      assertAt(fixture.endMillis.get(4L), 207);
    }
  }

  /** Slots, queue and memory. */
  public static class Capacity {
    @Test
    public void fullEnginesDecline() {
      Fixture fixture = new Fixture(1, 1, 100_000);
      fixture.decode(1, 100, 10);
      fixture.decode(2, 100, 10);
      fixture.decode(3, 100, 10);
      assertEquals(fixture.declined, List.of(3L));
      fixture.advanceMillis(1_000);
      assertTrue(fixture.endMillis.keySet().containsAll(List.of(1L, 2L)));
      assertEquals(fixture.ledger.close().get(PrefillUse.USED), Long.valueOf(200));
    }

    @Test
    public void theYoungestIsPreemptedAndPrefilledAgainWhenMemoryRunsOut() {
      Fixture fixture = new Fixture(4, 2, 64);
      fixture.decode(1, 16, 40);
      fixture.decode(2, 16, 40);
      fixture.advanceMillis(2_000);
      assertEquals(fixture.decodeEngine.preemptions(), 1);
      assertTrue(fixture.endMillis.get(1L) < fixture.endMillis.get(2L));
      Map<PrefillUse, Long> sums = fixture.ledger.close();
      assertEquals(sums.get(PrefillUse.PREEMPTED), Long.valueOf(16));
      // Both prompts, and the tokens that the second request had generated before preemption.
      assertTrue(sums.get(PrefillUse.USED) > 32, sums.toString());
      assertAt(fixture.decodeEngine.maxMemoryShare(), 1);
    }

    @Test
    public void cancelsFreeMemoryAtOnce() {
      Fixture fixture = new Fixture(4, 1, 64);
      Job first = fixture.decode(1, 40, 20);
      fixture.decode(2, 40, 20);
      fixture.advanceMillis(9);
      fixture.decodeEngine.cancel(first);
      fixture.advanceMillis(1_000);
      assertFalse(fixture.endMillis.containsKey(1L));
      assertTrue(fixture.endMillis.containsKey(2L));
      Map<PrefillUse, Long> sums = fixture.ledger.close();
      assertEquals(sums.get(PrefillUse.CANCELLED), Long.valueOf(40));
      assertEquals(sums.get(PrefillUse.USED), Long.valueOf(40));
    }
  }

  /** Prompts held for other engines. */
  public static class Handles {
    @Test
    public void expire() {
      Fixture fixture = new Fixture(4, 2, 100_000);
      fixture.prefill(1, 1_000);
      fixture.advanceMillis(700);
      fixture.takeOver(2, fixture.handles.get(1L), 1_000, 1);
      assertEquals(fixture.declined, List.of(2L));
      assertEquals(fixture.ledger.close().get(PrefillUse.HANDLE_LAPSED), Long.valueOf(1_000));
    }

    @Test
    public void areFreed() {
      Fixture fixture = new Fixture(4, 2, 100_000);
      fixture.prefill(1, 1_000);
      fixture.advanceMillis(200);
      fixture.prefillEngine.free(fixture.handles.get(1L));
      assertEquals(fixture.ledger.close().get(PrefillUse.HANDLE_FREED), Long.valueOf(1_000));
    }

    @Test
    public void areTakenOnce() {
      Fixture fixture = new Fixture(4, 2, 100_000);
      fixture.prefill(1, 1_000);
      fixture.advanceMillis(200);
      fixture.takeOver(2, fixture.handles.get(1L), 1_000, 1);
      fixture.takeOver(3, fixture.handles.get(1L), 1_000, 1);
      assertEquals(fixture.declined, List.of(3L));
    }
  }

  /** Checks of the token ledger. */
  public static class Ledger {
    @Test
    public void failsToCloseWhileOnePrefillHasNoUse() {
      Fixture fixture = new Fixture(4, 2, 100_000);
      fixture.decode(1, 1_000, 100);
      fixture.advanceMillis(250);
      assertThrows(IllegalStateException.class, fixture.ledger::close);
    }
  }
}

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
import org.testng.annotations.Test;

/** The engine alone, against times and sums worked out by hand. */
public class SimEngineTest {
  private static final double MILLI = 1e6;
  private static final UpstreamName READS = new UpstreamName("reads");
  private static final UpstreamName RUNS = new UpstreamName("runs");

  /** One engine of each stage, and what they say. */
  private static final class Rig implements Job.Sender {
    final Timeline time = new Timeline(0);
    final TokenLedger ledger = new TokenLedger();
    final Map<Long, Double> ended = new HashMap<>();
    final List<Long> declined = new ArrayList<>();
    final List<Double> events = new ArrayList<>();
    final Map<Long, String> handles = new HashMap<>();
    final SimEngine reads;
    final SimEngine runs;

    Rig(int slots, int queue, long memory) {
      FleetScenario.Engines spec =
          new FleetScenario.Engines(
              1, 1, slots, queue, memory, 16, 2, 1, 10, 2_048, 1, 500, 1, 2_500);
      reads = new SimEngine(time, ledger, spec, Stage.PREFILL);
      runs = new SimEngine(time, ledger, spec, Stage.DECODE);
    }

    Job job(long id, Purpose purpose, int prompt, int output) {
      return new Job(this, new AttemptId(id), RUNS, purpose, prompt, output, false);
    }

    Job run(long id, int prompt, int output) {
      Job job = job(id, new Purpose.Run(), prompt, output);
      runs.take(job);
      return job;
    }

    Job read(long id, int prompt) {
      Job job = job(id, new Purpose.ReadPrompt(), prompt, 0);
      reads.take(job);
      return job;
    }

    Job takeOver(long id, String handle, int prompt, int output) {
      RelayUpstream source =
          new RelayUpstream(
              UpstreamIncarnation.unknown(READS),
              new ServiceName("model"),
              "127.0.0.1:80",
              new DataCentreName("dc-1"),
              1,
              Stage.PREFILL,
              false);
      Job job = job(id, new Purpose.TakeOver(source, handle), prompt, output);
      runs.take(job);
      return job;
    }

    double millis() {
      return time.now() / MILLI;
    }

    void pass(double millis) {
      time.runUntil(time.now() + (long) (millis * MILLI));
    }

    @Override
    public void reply(Job job, LongFunction<RelayEvent> event) {
      declined.add(job.attempt.value());
    }

    @Override
    public void noticed(Job job, long sentAt, RateLimitNotice rate) {}

    @Override
    public void promptRead(Job job, String handle) {
      ended.put(job.attempt.value(), millis());
      handles.put(job.attempt.value(), handle);
    }

    @Override
    public void event(Job job, boolean first) {
      events.add(millis());
    }

    @Override
    public void complete(Job job, LongFunction<RelayEvent> event) {
      ended.put(job.attempt.value(), millis());
      job.settle(ReadCause.USED);
    }

    @Override
    public SimEngine engine(UpstreamName id) {
      return id.equals(READS) ? reads : runs;
    }
  }

  private static void assertAt(Double actual, double expected) {
    assertEquals(actual, expected, 0.01);
  }

  /** How long work takes. */
  public static class Times {
    @Test
    public void promptsAreReadInPiecesOneAfterTheOther() {
      Rig rig = new Rig(4, 2, 100_000);
      rig.read(1, 3_048);
      rig.read(2, 1_000);
      rig.pass(450);
      // 2,048 and 1,000 tokens at ten a millisecond, then 1,000 of the second.
      assertAt(rig.ended.get(1L), 304.8);
      assertAt(rig.ended.get(2L), 404.8);
    }

    @Test
    public void anEngineThatRunsReadsAtHalfTheSpeed() {
      Rig rig = new Rig(4, 2, 100_000);
      rig.run(1, 1_000, 3);
      rig.pass(300);
      // 1,000 tokens at five a millisecond, then three steps of 2 + 1 ms.
      assertAt(rig.events.getFirst(), 203);
      assertAt(rig.ended.get(1L), 209);
    }

    @Test
    public void stepsAreLongerTheMoreRequestsThereAre() {
      Rig rig = new Rig(4, 2, 100_000);
      rig.run(1, 5, 4);
      rig.run(2, 5, 4);
      rig.pass(100);
      // The first is read in 1 ms; its first step, with the second's reading, takes 3 + 1 ms; then
      // three steps of both take 4 ms each, and the last of the second 3 ms.
      assertAt(rig.ended.get(1L), 17);
      assertAt(rig.ended.get(2L), 20);
    }

    @Test
    public void promptsAreFetchedOverTheLinkOfTheirSource() {
      Rig rig = new Rig(4, 2, 100_000);
      rig.read(1, 1_000);
      rig.read(2, 1_000);
      rig.pass(200);
      rig.takeOver(3, rig.handles.get(1L), 1_000, 1);
      rig.takeOver(4, rig.handles.get(2L), 1_000, 1);
      rig.pass(100);
      // A millisecond each, one after the other; a step of 3 ms.
      assertAt(rig.ended.get(3L), 204);
      assertAt(rig.ended.get(4L), 207);
    }
  }

  /** What there is room for. */
  public static class Room {
    @Test
    public void oneThatIsFullDeclines() {
      Rig rig = new Rig(1, 1, 100_000);
      rig.run(1, 100, 10);
      rig.run(2, 100, 10);
      rig.run(3, 100, 10);
      assertEquals(rig.declined, List.of(3L));
      rig.pass(1_000);
      assertTrue(rig.ended.keySet().containsAll(List.of(1L, 2L)));
      assertEquals(rig.ledger.close().get(ReadCause.USED), Long.valueOf(200));
    }

    @Test
    public void theYoungestIsDroppedAndReadAgainWhenMemoryRunsOut() {
      Rig rig = new Rig(4, 2, 64);
      rig.run(1, 16, 40);
      rig.run(2, 16, 40);
      rig.pass(2_000);
      assertEquals(rig.runs.preemptions(), 1);
      assertTrue(rig.ended.get(1L) < rig.ended.get(2L));
      Map<ReadCause, Long> sums = rig.ledger.close();
      assertEquals(sums.get(ReadCause.PREEMPTED), Long.valueOf(16));
      // The prompts of both, and what the second had generated before it was dropped.
      assertTrue(sums.get(ReadCause.USED) > 32, sums.toString());
      assertAt(rig.runs.fullest(), 1);
    }

    @Test
    public void cancelsFreeMemoryAtOnce() {
      Rig rig = new Rig(4, 1, 64);
      Job first = rig.run(1, 40, 20);
      rig.run(2, 40, 20);
      rig.pass(9);
      rig.runs.cancel(first);
      rig.pass(1_000);
      assertFalse(rig.ended.containsKey(1L));
      assertTrue(rig.ended.containsKey(2L));
      Map<ReadCause, Long> sums = rig.ledger.close();
      assertEquals(sums.get(ReadCause.CANCELLED), Long.valueOf(40));
      assertEquals(sums.get(ReadCause.USED), Long.valueOf(40));
    }
  }

  /** Prompts that are kept for others. */
  public static class Handles {
    @Test
    public void lapse() {
      Rig rig = new Rig(4, 2, 100_000);
      rig.read(1, 1_000);
      rig.pass(700);
      rig.takeOver(2, rig.handles.get(1L), 1_000, 1);
      assertEquals(rig.declined, List.of(2L));
      assertEquals(rig.ledger.close().get(ReadCause.HANDLE_LAPSED), Long.valueOf(1_000));
    }

    @Test
    public void areFreed() {
      Rig rig = new Rig(4, 2, 100_000);
      rig.read(1, 1_000);
      rig.pass(200);
      rig.reads.free(rig.handles.get(1L));
      assertEquals(rig.ledger.close().get(ReadCause.HANDLE_FREED), Long.valueOf(1_000));
    }

    @Test
    public void areTakenOnce() {
      Rig rig = new Rig(4, 2, 100_000);
      rig.read(1, 1_000);
      rig.pass(200);
      rig.takeOver(2, rig.handles.get(1L), 1_000, 1);
      rig.takeOver(3, rig.handles.get(1L), 1_000, 1);
      assertEquals(rig.declined, List.of(3L));
    }
  }

  /** Sums that do not close. */
  public static class Ledger {
    @Test
    public void areRefusedWhileOneReadingHasNoCause() {
      Rig rig = new Rig(4, 2, 100_000);
      rig.run(1, 1_000, 100);
      rig.pass(250);
      assertThrows(IllegalStateException.class, rig.ledger::close);
    }
  }
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.larkkeel.store.Fault;
import org.larkkeel.store.ObjectApiFailure;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ObjectLog}. */
public class ObjectLogTest {

  private static void setWriteFaults(LogRig.Node n, Fault... faults) {
    Deque<Fault> left = new ArrayDeque<>(List.of(faults));
    n.api.setWriteFaults(() -> left.isEmpty() ? Fault.NONE : left.removeFirst());
  }

  /** Appends by concurrent writers, and appends whose store calls fail or lose their responses. */
  public static class Appending {

    @Test
    public void exactlyOneOfTwoConcurrentWritersAppends() {
      LogRig rig = new LogRig();
      LogRig.Node a = rig.node("a");
      LogRig.Node b = rig.node("b");
      var fa = a.log.append(a.entry(1, 10)).call();
      var fb = b.log.append(b.entry(1, 20)).call();
      assertTrue(rig.await(fa) instanceof AppendResult.Appended);
      assertTrue(rig.await(fb) instanceof AppendResult.PositionTaken l && l.winner().isPresent());
      assertEquals(b.read(), List.of(10));
    }

    @Test
    public void lostAnswerIsResolvedByReadingBack() {
      LogRig rig = new LogRig();
      LogRig.Node a = rig.node("a");
      setWriteFaults(a, Fault.LOSE_ANSWER);
      assertTrue(a.append(1, 10) instanceof AppendResult.Appended);
      assertEquals(a.read(), List.of(10));
    }

    @Test
    public void lostRequestIsRetried() {
      LogRig rig = new LogRig();
      LogRig.Node a = rig.node("a");
      setWriteFaults(a, Fault.LOSE_REQUEST);
      assertTrue(a.append(1, 10) instanceof AppendResult.Appended);
      assertEquals(a.read(), List.of(10));
    }

    @Test
    public void delayedCreateIsNotDuplicated() {
      LogRig rig = new LogRig();
      LogRig.Node a = rig.node("a");
      setWriteFaults(a, Fault.LATE_EFFECT);
      assertTrue(a.append(1, 10) instanceof AppendResult.Appended);
      rig.time.advance(Duration.ofSeconds(5));
      assertEquals(a.read(), List.of(10));
    }

    @Test
    public void outageAfterLostAnswerIsUnresolvedUntilTheSameEntryIsAppendedAgain() {
      LogRig rig = new LogRig();
      LogRig.Node a = rig.node("a");
      LogEntry e = a.entry(1, 10);
      Fault r = Fault.REFUSE;
      setWriteFaults(a, Fault.LOSE_ANSWER, r, r, r, r, r);
      assertTrue(rig.await(a.log.append(e).call()) instanceof AppendResult.Unresolved);
      AppendResult again =
          rig.await(a.log.append(e).setPriorAttempt(PriorAttempt.UNRESOLVED).call());
      assertEquals(again, new AppendResult.Appended(e));
    }

    @Test
    public void appendDuringOutageHasNoEffect() {
      LogRig rig = new LogRig();
      rig.store.setOutage(true);
      LogRig.Node a = rig.node("a");
      assertEquals(
          a.append(1, 10), new AppendResult.NotAppended(new ObjectApiFailure.Unavailable()));
      rig.store.setOutage(false);
      assertEquals(a.read(), List.of());
    }
  }

  /** Snapshots and truncation, and writers that append at a truncated position. */
  public static class Truncating {

    private static LogRig.Node logWithSnapshot(LogRig rig, int entries) {
      LogRig.Node a = rig.node("a");
      for (int n = 1; n <= entries; n++) {
        assertTrue(a.append(n, n) instanceof AppendResult.Appended);
      }
      byte[] state = "the state, longer than a chunk".getBytes(UTF_8);
      SnapshotResult r = rig.await(a.log.writeSnapshot(new LogSnapshot(entries - 1, state)));
      assertEquals(r, SnapshotResult.WRITTEN);
      return a;
    }

    @Test
    public void newReaderStartsFromTheSnapshot() {
      LogRig rig = new LogRig();
      logWithSnapshot(rig, 9);
      LogView v = rig.await(rig.node("b").log.read(0));
      assertEquals(v.snapshot().get().through(), 8);
      assertEquals(
          new String(v.snapshot().get().content(), UTF_8), "the state, longer than a chunk");
      assertEquals(LogRig.values(v.entries()), List.of(9));
      assertEquals(rig.store.all("test").size(), 3);
    }

    @Test
    public void olderSnapshotNeverReplacesNewer() {
      LogRig rig = new LogRig();
      LogRig.Node a = logWithSnapshot(rig, 9);
      assertEquals(
          rig.await(a.log.writeSnapshot(new LogSnapshot(5, new byte[1]))),
          SnapshotResult.SUPERSEDED);
    }

    @Test
    public void pausedWriterCanNotAppendAtTruncatedPosition() {
      LogRig rig = new LogRig();
      logWithSnapshot(rig, 9);
      LogRig.Node late = rig.node("late");
      assertEquals(late.append(3, 99), new AppendResult.PositionTaken(Optional.empty()));
      assertEquals(rig.store.all("test").size(), 3);
    }

    @Test
    public void unresolvedAppendAtTruncatedPositionStaysUnknown() {
      LogRig rig = new LogRig();
      logWithSnapshot(rig, 9);
      LogRig.Node late = rig.node("late");
      LogEntry e = late.entry(3, 99);
      AppendResult r =
          rig.await(late.log.append(e).setPriorAttempt(PriorAttempt.UNRESOLVED).call());
      assertEquals(r, new AppendResult.PositionTruncated());
    }

    @Test
    public void truncationKeepsTheNewestSeals() {
      LogRig rig = new LogRig();
      LogRig.Node a = rig.node("a");
      rig.await(a.log.append(LogEntry.seal(1, a.log.nextAppend())).call());
      for (int n = 2; n <= 9; n++) {
        a.append(n, n);
      }
      rig.await(a.log.writeSnapshot(new LogSnapshot(9, new byte[1])));
      LogEntry old = rig.node("old").entry(1, 99);
      AppendResult r = rig.await(a.log.append(old).setGuard(TruncationGuard.RETAINED_SEAL).call());
      assertTrue(r instanceof AppendResult.PositionTaken);
    }
  }

  /** Following a log by list and watch, without gaps or duplicates. */
  public static class Following {
    private final List<Integer> receivedValues = new ArrayList<>();
    private final List<Long> receivedSnapshots = new ArrayList<>();

    /** Clears the received state, since TestNG runs all test methods on one instance. */
    @BeforeMethod
    public void clearReceived() {
      receivedValues.clear();
      receivedSnapshots.clear();
    }

    private LogFollower follow(LogRig.Node n) {
      return n.log.follow(
          0,
          new LogFollower.Listener() {
            @Override
            public void snapshot(LogSnapshot s) {
              receivedSnapshots.add(s.through());
            }

            @Override
            public void entry(LogEntry e) {
              receivedValues.addAll(LogRig.values(List.of(e)));
            }
          });
    }

    @Test
    public void deliversInOrderThroughOutageExpiryAndLag() {
      LogRig rig = new LogRig();
      LogRig.Node a = rig.node("a");
      LogRig.Node b = rig.node("b");
      b.api.setWatchLag(Duration.ofMillis(300));
      a.append(1, 1);
      follow(b);
      rig.time.advance(Duration.ofSeconds(1));
      a.append(2, 2);
      rig.time.advance(Duration.ofSeconds(1));
      assertEquals(receivedValues, List.of(1, 2));
      b.process.pause();
      a.append(3, 3);
      a.append(4, 4);
      rig.store.discardHistory();
      b.process.resume();
      rig.store.setOutage(true);
      rig.time.advance(Duration.ofSeconds(90));
      rig.store.setOutage(false);
      rig.time.advance(Duration.ofSeconds(5));
      a.append(5, 5);
      rig.time.advance(Duration.ofSeconds(1));
      assertEquals(receivedValues, List.of(1, 2, 3, 4, 5));
    }

    @Test
    public void catchesUpFromSnapshotAfterLongPause() {
      LogRig rig = new LogRig();
      LogRig.Node a = rig.node("a");
      LogRig.Node b = rig.node("b");
      a.append(1, 1);
      follow(b);
      rig.time.advance(Duration.ofSeconds(1));
      b.process.pause();
      for (int n = 2; n <= 9; n++) {
        a.append(n, n);
      }
      rig.await(a.log.writeSnapshot(new LogSnapshot(8, new byte[1])));
      rig.store.discardHistory();
      rig.time.advance(Duration.ofSeconds(61));
      b.process.resume();
      rig.time.advance(Duration.ofSeconds(1));
      assertEquals(receivedValues, List.of(1, 2, 3, 4, 5, 6, 7, 8, 9));
    }

    @Test
    public void startsFromTheSnapshot() {
      LogRig rig = new LogRig();
      LogRig.Node a = rig.node("a");
      for (int n = 1; n <= 9; n++) {
        a.append(n, n);
      }
      rig.await(a.log.writeSnapshot(new LogSnapshot(8, new byte[1])));
      follow(rig.node("b"));
      rig.time.advance(Duration.ofSeconds(1));
      assertEquals(receivedSnapshots, List.of(8L));
      assertEquals(receivedValues, List.of(9));
    }
  }
}

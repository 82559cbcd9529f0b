/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.larkkeel.errors.ErrorKind;
import org.testng.annotations.Test;

/** Tests of the choice between direct connections and tunnels. */
public class UpstreamPathsTest {
  private static RelayWorld clusterNode() {
    RelayWorld w = RelayWorld.withDefaults();
    w.apply(new RelayEvent.NodesCounted(w.now(), 3));
    return w;
  }

  private static void refuseConnect(RelayWorld w) {
    w.apply(new RelayEvent.Refused(w.now(), w.sent().attempt(), RefusalCause.CONNECT_REFUSED));
  }

  /** Answers the probes since an index by their paths; returns the number of all probes so far. */
  private static int answerProbes(RelayWorld w, int from, ProbeResult direct, ProbeResult tunnel) {
    List<RelayEffect.Probe> all = w.of(RelayEffect.Probe.class);
    for (RelayEffect.Probe p : all.subList(from, all.size())) {
      ProbeResult result = p.path() == UpstreamPath.DIRECT ? direct : tunnel;
      w.apply(new RelayEvent.Probed(w.now(), p.upstream().incarnation(), p.path(), result));
    }
    return all.size();
  }

  /** Loses the direct paths to the upstreams of a service under a call; tunnels open. */
  private static void losePaths(RelayWorld w, String path, CallSize size) {
    w.arrive(path, 14_000, size);
    refuseConnect(w);
    int probes = answerProbes(w, 0, ProbeResult.REFUSES, ProbeResult.LISTENS);
    refuseConnect(w);
    answerProbes(w, probes, ProbeResult.REFUSES, ProbeResult.LISTENS);
  }

  private static void losePaths(RelayWorld w) {
    losePaths(w, "/once/a", CallSize.NONE);
  }

  /** Upstreams that do not answer. */
  public static class Silent {
    /** A sound upstream may be silent for a second; its path must not be given up. */
    @Test
    public void keepsItsPathWhileItAcceptsConnections() {
      RelayWorld w = clusterNode();
      w.arrive("/once/a");
      w.pass(210);
      assertFalse(w.of(RelayEffect.Probe.class).isEmpty());
      answerProbes(w, 0, ProbeResult.LISTENS, ProbeResult.LISTENS);
      w.pass(800);
      w.answered(AnswerGrade.GOOD);
      w.arrive("/once/a");
      assertEquals(w.sent().path(), UpstreamPath.DIRECT);
    }

    /** Many calls in the queue of one upstream must not each cause a probe. */
    @Test
    public void isProbedAtMostOncePerSecond() {
      RelayWorld w = clusterNode();
      for (int i = 0; i < 40; i++) {
        w.arrive("/once/a");
        w.pass(50);
        List<RelayEffect.Probe> all = w.of(RelayEffect.Probe.class);
        answerProbes(w, Math.max(0, all.size() - 2), ProbeResult.LISTENS, ProbeResult.LISTENS);
      }
      assertTrue(w.of(RelayEffect.Probe.class).size() <= 4, w.of(RelayEffect.Probe.class) + "");
    }

    @Test
    public void isNotProbedIfAnswersCome() {
      RelayWorld w = clusterNode();
      w.arrive("/once/a");
      w.pass(100);
      w.answered(AnswerGrade.GOOD);
      w.pass(500);
      assertTrue(w.of(RelayEffect.Probe.class).isEmpty());
    }

    /** A call that may run again must not stay on a connection that hangs. */
    @Test
    public void losesCallsThatMayRunAgain() {
      RelayWorld w = clusterNode();
      w.arrive("/safe/a");
      w.pass(210);
      int probes = answerProbes(w, 0, ProbeResult.SILENT, ProbeResult.LISTENS);
      answerProbes(w, probes, ProbeResult.SILENT, ProbeResult.LISTENS);
      assertEquals(w.sendCount(), 2);
      assertEquals(w.sent().path(), UpstreamPath.TUNNEL);
    }

    @Test
    public void keepsCallsThatMayRunOnce() {
      RelayWorld w = clusterNode();
      w.arrive("/once/a");
      w.pass(210);
      int probes = answerProbes(w, 0, ProbeResult.SILENT, ProbeResult.LISTENS);
      answerProbes(w, probes, ProbeResult.SILENT, ProbeResult.LISTENS);
      assertEquals(w.sendCount(), 1);
    }
  }

  /** Upstreams whose direct connections fail. */
  public static class Lost {
    @Test
    public void areUsedByTunnelForTheSameCall() {
      RelayWorld w = clusterNode();
      losePaths(w);
      assertEquals(w.sent().path(), UpstreamPath.TUNNEL);
      assertFalse(w.isRefused());
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    /** Calls must not find out one upstream after the other that a service is not reached. */
    @Test
    public void areAllFoundAfterOneFailure() {
      RelayWorld w = clusterNode();
      losePaths(w);
      assertEquals(w.sendCount(), 3);
      w.arrive("/once/a");
      assertEquals(w.sent().path(), UpstreamPath.TUNNEL);
    }

    @Test
    public void areUsedDirectlyOnceProbesSucceed() {
      RelayWorld w = clusterNode();
      losePaths(w);
      int probes = w.of(RelayEffect.Probe.class).size();
      w.pass(700);
      probes = answerProbes(w, probes, ProbeResult.REFUSES, ProbeResult.LISTENS);
      w.arrive("/once/a");
      assertEquals(w.sent().path(), UpstreamPath.TUNNEL);
      w.pass(700);
      answerProbes(w, probes, ProbeResult.LISTENS, ProbeResult.LISTENS);
      w.arrive("/once/a");
      assertEquals(w.sent().path(), UpstreamPath.DIRECT);
      assertTrue(w.router.indirectUpstreams().isEmpty());
    }

    /** An upstream that no node reaches has ended, and calls must not wait for it. */
    @Test
    public void areEjectedIfNoTunnelOpens() {
      RelayWorld w = clusterNode();
      w.arrive("/once/a");
      refuseConnect(w);
      refuseConnect(w);
      assertFalse(w.isRefused());
      int probes = answerProbes(w, 0, ProbeResult.REFUSES, ProbeResult.REFUSES);
      answerProbes(w, probes, ProbeResult.REFUSES, ProbeResult.REFUSES);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** A call must not wait for connections that were found not to open a moment ago. */
    @Test
    public void areNotTriedAgainAtOnceIfNoTunnelOpens() {
      RelayWorld w = clusterNode();
      w.arrive("/once/a");
      refuseConnect(w);
      refuseConnect(w);
      int probes = answerProbes(w, 0, ProbeResult.REFUSES, ProbeResult.SILENT);
      answerProbes(w, probes, ProbeResult.REFUSES, ProbeResult.SILENT);
      final int sends = w.sendCount();
      w.arrive("/once/a");
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
      assertEquals(w.sendCount(), sends);
      w.pass(300);
      w.arrive("/once/a");
      assertEquals(w.sendCount(), sends + 1);
    }

    /** Attempts without a connection reach no upstream and must not use up the retry budget. */
    @Test
    public void doNotUseUpRetryBudget() {
      RelayWorld w = new RelayWorld(0);
      w.configure(1, RelayWorld.rules());
      w.add("app-1", RelayWorld.APP, Stage.WHOLE);
      w.add("app-2", RelayWorld.APP, Stage.WHOLE);
      w.applyDiscoveryList();
      w.apply(new RelayEvent.NodesCounted(w.now(), 3));
      losePaths(w);
      assertEquals(w.sent().path(), UpstreamPath.TUNNEL);
      assertFalse(w.isRefused());
    }

    /** A node that is stopped or alone has no peers; it decides by itself as before. */
    @Test
    public void areEjectedAtNodeWithoutPeers() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/once/a");
      refuseConnect(w);
      refuseConnect(w);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
      assertTrue(w.of(RelayEffect.Probe.class).isEmpty());
    }

    /** A call must not wait for the path to an upstream that is no longer listed. */
    @Test
    public void doNotKeepCallIfTheyAreRemoved() {
      RelayWorld w = clusterNode();
      w.arrive("/once/a");
      refuseConnect(w);
      refuseConnect(w);
      w.remove("app-1", "app-2");
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    @Test
    public void doNotKeepCallPastItsDeadline() {
      RelayWorld w = clusterNode();
      w.arrive("/once/a");
      refuseConnect(w);
      refuseConnect(w);
      w.pass(1_600);
      assertTrue(w.isRefused());
    }
  }

  /** Tunnels that fail. */
  public static class Tunnels {
    private static RelayEffect.Probe lastProbe(RelayWorld w) {
      return w.of(RelayEffect.Probe.class).getLast();
    }

    /** The end of a tunnel's peer must not eject the upstreams that were reached by it. */
    @Test
    public void doNotEjectUpstreamThatAnotherPeerReaches() {
      RelayWorld w = clusterNode();
      losePaths(w);
      for (int i = 0; i < 4; i++) {
        w.lost();
        assertEquals(lastProbe(w).path(), UpstreamPath.TUNNEL);
        w.apply(
            new RelayEvent.Probed(
                w.now(),
                lastProbe(w).upstream().incarnation(),
                UpstreamPath.TUNNEL,
                ProbeResult.LISTENS));
        w.arrive("/once/a");
      }
      assertTrue(
          w.of(RelayEffect.Report.class).stream()
              .noneMatch(r -> r.fact() instanceof RelayFact.Ejected));
      assertEquals(w.sent().path(), UpstreamPath.TUNNEL);
    }

    /** A peer that loses power leaves its tunnels silent; others must be opened soon. */
    @Test
    public void areProbedIfSilent() {
      RelayWorld w = clusterNode();
      losePaths(w);
      int probes = w.of(RelayEffect.Probe.class).size();
      w.pass(210);
      assertTrue(w.of(RelayEffect.Probe.class).size() > probes);
      assertEquals(lastProbe(w).path(), UpstreamPath.TUNNEL);
    }

    @Test
    public void ejectUpstreamThatNoPeerReaches() {
      RelayWorld w = clusterNode();
      losePaths(w);
      w.lost();
      w.apply(
          new RelayEvent.Probed(
              w.now(),
              lastProbe(w).upstream().incarnation(),
              UpstreamPath.TUNNEL,
              ProbeResult.REFUSES));
      assertTrue(
          w.of(RelayEffect.Report.class).stream()
              .anyMatch(r -> r.fact() instanceof RelayFact.Ejected));
    }
  }

  /** Proofs that an upstream has ended. */
  public static class Ends {
    private static boolean isEndReported(RelayWorld w) {
      return w.of(RelayEffect.Report.class).stream()
          .anyMatch(r -> r.fact() instanceof RelayFact.UpstreamEnded);
    }

    /** Loses a call with its connection; its upstream refuses new ones. */
    private static RelayWorld lostCall(ProbeResult others, ProbeResult tunnels) {
      RelayWorld w = clusterNode();
      w.arrive("/once/a");
      String lost = w.sent().upstream().name().value();
      w.lost();
      for (int from = 0; from < w.of(RelayEffect.Probe.class).size(); ) {
        RelayEffect.Probe p = w.of(RelayEffect.Probe.class).get(from++);
        boolean isOther = !p.upstream().name().value().equals(lost);
        ProbeResult direct = isOther ? others : ProbeResult.REFUSES;
        ProbeResult result = p.path() == UpstreamPath.DIRECT ? direct : tunnels;
        w.apply(new RelayEvent.Probed(w.now(), p.upstream().incarnation(), p.path(), result));
      }
      return w;
    }

    @Test
    public void areGivenByPeers() {
      assertTrue(isEndReported(lostCall(ProbeResult.LISTENS, ProbeResult.REFUSES)));
    }

    /** A node that lost its own paths must not report that upstreams have ended. */
    @Test
    public void areNotGivenIfTunnelOpens() {
      assertFalse(isEndReported(lostCall(ProbeResult.LISTENS, ProbeResult.LISTENS)));
      assertFalse(isEndReported(lostCall(ProbeResult.REFUSES, ProbeResult.LISTENS)));
    }

    /** Beside peers of an older version, which offer no tunnels, crashes must still be found. */
    @Test
    public void areGivenByAnotherUpstreamIfNoPeerCanTell() {
      assertTrue(isEndReported(lostCall(ProbeResult.LISTENS, ProbeResult.SILENT)));
    }

    @Test
    public void areNotGivenIfNothingIsReached() {
      assertFalse(isEndReported(lostCall(ProbeResult.REFUSES, ProbeResult.SILENT)));
    }
  }

  /** What is measured while paths are lost. */
  public static class Speeds {
    /** A broken path must not make an engine look slow to other nodes. */
    @Test
    public void areNotMeasuredByTunnels() {
      RelayWorld w = clusterNode();
      CallSize size = new CallSize(1_000, 100, 70);
      losePaths(w, "/stream/a", size);
      w.arrive("/stream/a", 14_000, size);
      assertEquals(w.sent().purpose(), new RelayEffect.Purpose.ReadPrompt());
      assertEquals(w.sent().path(), UpstreamPath.TUNNEL);
      w.pass(3_000);
      w.promptRead();
      assertTrue(w.router.takeSpeedSamples(w.now()).isEmpty());
    }
  }
}

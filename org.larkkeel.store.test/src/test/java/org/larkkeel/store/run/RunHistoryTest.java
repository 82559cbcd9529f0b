/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.larkkeel.lib.HostName;
import org.larkkeel.store.Fault;
import org.testng.annotations.Test;

/**
 * Tests {@link RunLog} with generated histories: without faults against a reference model, and with
 * faults against its invariants.
 */
public class RunHistoryTest {
  private static final int MAX_STEP = 1 << 20;
  private static final List<String> KEYS = List.of("k0", "k1", "k2", "k3");

  /** Without faults, a single host gives the same results as a map of the runs. */
  public static class Differential {

    @Test
    public void agreesWithTheReferenceModel() {
      qt().withFixedSeed(7)
          .withExamples(300)
          .withShrinkCycles(200)
          .forAll(lists().of(integers().between(0, MAX_STEP)).ofSizeBetween(1, 60))
          .checkAssert(Differential::compare);
    }

    private static void compare(List<Integer> steps) {
      RunRig rig = new RunRig();
      RunRig.Host a = rig.host("a");
      a.log.setMembers(RunRig.members(a));
      rig.time.advance(Duration.ofSeconds(1));
      Map<String, ModelRun> model = new HashMap<>();
      for (int v : steps) {
        String key = KEYS.get(v % KEYS.size());
        int op = v / KEYS.size() % 6;
        if (op < 3) {
          String digest = op == 0 ? "other" : "digest";
          RunToken t = a.token();
          String expected = claimInModel(model, key, digest, t);
          ClaimResult got = rig.await(a.log.claim(new ClaimRequest(RunRig.id(key), digest, t)));
          assertEquals(text(got), expected);
        } else {
          ModelRun run = model.get(key);
          RunToken t = run == null ? a.token() : run.token;
          RunOutcome o =
              switch (op) {
                case 3 -> answered(t);
                case 4 -> new RunOutcome.NotRun();
                default -> new RunOutcome.Unknown();
              };
          RecordResult got = rig.await(a.log.record(RunRig.id(key), t, o));
          assertEquals(got, run == null ? RecordResult.NO_SUCH_RUN : RecordResult.RECORDED);
          recordInModel(model, key, op);
        }
      }
    }

    private static String claimInModel(
        Map<String, ModelRun> model, String key, String digest, RunToken t) {
      ModelRun run = model.get(key);
      if (run == null) {
        model.put(key, new ModelRun(digest, t));
        return "Claimed " + t;
      }
      return run.digest.equals(digest) ? run.state : "KeyReused";
    }

    private static void recordInModel(Map<String, ModelRun> model, String key, int op) {
      ModelRun run = model.get(key);
      if (run == null || run.state.startsWith("AlreadyDone")) {
        return;
      }
      if (op == 3) {
        run.state = "AlreadyDone " + run.token;
      } else if (run.state.equals("InProgress")) {
        if (op == 4) {
          model.remove(key);
        } else {
          run.state = "Unknown";
        }
      }
    }
  }

  private static final class ModelRun {
    final String digest;
    final RunToken token;
    String state = "InProgress";

    ModelRun(String digest, RunToken token) {
      this.digest = digest;
      this.token = token;
    }
  }

  private static RunOutcome answered(RunToken t) {
    return new RunOutcome.Answered(new RecordedAnswer(200, "", t.toString().getBytes(UTF_8)));
  }

  private static String text(ClaimResult r) {
    return switch (r) {
      case ClaimResult.Claimed c -> "Claimed " + c.token();
      case ClaimResult.AlreadyDone d ->
          "AlreadyDone " + new String(d.answer().orElseThrow().body(), UTF_8);
      default -> r.getClass().getSimpleName();
    };
  }

  /**
   * Hosts that disagree about the members, pause, crash, or lose store responses: a claim must be
   * durable before it is reported, and a request may be claimed again only after its release.
   */
  public static class Invariants {

    @Test
    public void holdThroughFaults() {
      qt().withFixedSeed(11)
          .withExamples(600)
          .withShrinkCycles(300)
          .forAll(lists().of(integers().between(0, MAX_STEP)).ofSizeBetween(10, 120))
          .checkAssert(steps -> new History(steps.hashCode()).run(steps));
    }
  }

  private static final class History {
    private static final RunLogOptions OPTIONS =
        new RunLogOptions(
            2,
            new RunLimits(Duration.ofHours(1), 1000, 100, 100_000, Duration.ofSeconds(3)),
            RunRig.OPTIONS.writer(),
            RunRig.OPTIONS.log());

    private final RunRig rig = new RunRig();
    private final List<RunRig.Host> hosts = new ArrayList<>();
    private final Random random;
    private final Map<String, List<RunToken>> claimed = new HashMap<>();
    private final List<Claim> openClaims = new ArrayList<>();
    private final Set<RunToken> released = new HashSet<>();
    private int incarnations = 1;
    private int faultsLeft;
    private Throwable failure;

    private record Claim(String key, RunToken token) {}

    History(int seed) {
      random = new Random(seed);
      for (String name : List.of("a", "b", "c")) {
        hosts.add(start(name));
      }
    }

    private RunRig.Host start(String name) {
      RunRig.Host h = rig.new Host(name, incarnations++, OPTIONS);
      h.api.setWriteFaults(this::nextFault);
      h.log.setMembers(ImmutableSet.of(new HostName(name)));
      return h;
    }

    private Fault nextFault() {
      if (faultsLeft == 0) {
        return Fault.NONE;
      }
      faultsLeft--;
      return Fault.values()[random.nextInt(Fault.values().length)];
    }

    void run(List<Integer> steps) {
      for (int v : steps) {
        step(v % 12, v / 12);
        rig.time.advance(Duration.ofMillis(random.nextInt(60)));
      }
      checkOwnersAfterFaultsEnd();
      if (failure != null) {
        throw new AssertionError(failure);
      }
    }

    private void step(int op, int p) {
      int i = p % hosts.size();
      RunRig.Host h = hosts.get(i);
      switch (op) {
        case 0, 1, 2, 3, 4 -> claim(h, KEYS.get(p / 3 % KEYS.size()));
        case 5, 6 -> record(h, p);
        case 7 -> h.log.setMembers(subset(p));
        case 8 -> h.process.pause();
        case 9 -> restart(i, h);
        case 10 -> rig.store.setOutage(p % 3 == 0);
        default -> {
          faultsLeft = p % 4;
          hosts.forEach(x -> x.process.resume());
          rig.time.advance(Duration.ofMillis(p % 5000));
        }
      }
    }

    private void restart(int i, RunRig.Host h) {
      h.kill();
      hosts.set(i, start(h.id.host().value()));
    }

    private ImmutableSet<HostName> subset(int p) {
      ImmutableSet.Builder<HostName> some = ImmutableSet.builder();
      for (int i = 0; i < hosts.size(); i++) {
        if ((p >> i & 1) == 0) {
          some.add(hosts.get(i).id.host());
        }
      }
      return some.build();
    }

    private void claim(RunRig.Host h, String key) {
      RunToken t = h.token();
      ClaimRequest q = new ClaimRequest(RunRig.id(key), "digest", t);
      h.log.claim(q).thenAccept(r -> checkResult(key, t, r)).whenComplete(this::keepFailure);
    }

    private void checkResult(String key, RunToken t, ClaimResult r) {
      switch (r) {
        case ClaimResult.Claimed c -> {
          assertEquals(c.token(), t);
          assertTrue(isInStore(t), "claimed before the claim was durable: " + t);
          List<RunToken> earlier = claimed.computeIfAbsent(key, k -> new ArrayList<>());
          assertTrue(released.containsAll(earlier), key + " claimed by " + earlier + " and " + t);
          earlier.add(t);
          openClaims.add(new Claim(key, t));
        }
        case ClaimResult.Unavailable u ->
            assertFalse(
                isInStore(t), "reported unavailable although the claim is in the store: " + t);
        case ClaimResult.AlreadyDone d -> {
          String by = new String(d.answer().orElseThrow().body(), UTF_8);
          assertTrue(claimed.get(key).contains(RunToken.parse(by)), by);
        }
        default -> {}
      }
    }

    /** Keeps the first failed assertion of a callback, which its future would hide. */
    private void keepFailure(Void ok, Throwable t) {
      if (t != null && failure == null) {
        failure = t;
      }
    }

    private boolean isInStore(RunToken t) {
      return rig.store.created().stream()
          .filter(o -> o.key().collection().startsWith("runlog-"))
          .flatMap(o -> o.spec().path("records").valueStream())
          .map(RunRecord.Codec::read)
          .anyMatch(x -> x instanceof RunRecord.Claim && x.token().equals(t));
    }

    private void record(RunRig.Host h, int p) {
      if (openClaims.isEmpty()) {
        return;
      }
      Claim c = openClaims.get(p / 3 % openClaims.size());
      if (p % 5 == 0 && !released.contains(c.token)) {
        openClaims.remove(c);
        released.add(c.token);
        h.log.record(RunRig.id(c.key), c.token, new RunOutcome.NotRun());
      } else {
        h.log.record(RunRig.id(c.key), c.token, RunHistoryTest.answered(c.token));
      }
    }

    private void checkOwnersAfterFaultsEnd() {
      rig.store.setOutage(false);
      faultsLeft = 0;
      hosts.forEach(h -> h.process.resume());
      ImmutableSet<HostName> all = subset(0);
      hosts.forEach(h -> h.log.setMembers(all));
      rig.time.advance(Duration.ofSeconds(30));
      for (String key : KEYS) {
        int owners = 0;
        for (RunRig.Host h : hosts) {
          ClaimResult r = claimNow(h, key);
          if (r instanceof ClaimResult.Unavailable) {
            // A deposed owner learns of it at its first append; the shard is then taken back.
            rig.time.advance(Duration.ofSeconds(5));
            r = claimNow(h, key);
          }
          assertFalse(r instanceof ClaimResult.Unavailable, "unavailable after the faults ended");
          owners += r instanceof ClaimResult.NotOwner ? 0 : 1;
        }
        assertEquals(owners, 1, "owners of " + key);
      }
    }

    private ClaimResult claimNow(RunRig.Host h, String key) {
      RunToken t = h.token();
      ClaimResult r = rig.await(h.log.claim(new ClaimRequest(RunRig.id(key), "digest", t)));
      checkResult(key, t, r);
      return r;
    }
  }
}

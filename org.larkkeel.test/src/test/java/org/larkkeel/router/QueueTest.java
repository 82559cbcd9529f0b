/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import static org.larkkeel.router.Fixtures.WORKSPACE;
import static org.larkkeel.router.Fixtures.completion;
import static org.larkkeel.router.Fixtures.configuration;
import static org.larkkeel.router.Fixtures.engine;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.config.Limits;
import org.larkkeel.config.Upstream;
import org.larkkeel.config.Urgency;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.event.LimitShare;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.WorkspaceName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The order of waiting requests, their targets and deadlines, reservations, ejection and limits.
 */
public class QueueTest {
  private static Script withOnePair(Urgency urgency, int slots) {
    return new Script()
        .configure(
            configuration(
                1, urgency, List.of(engine("p1", "prefill", 4), engine("d1", "decode", slots))));
  }

  /** Ends the request that decodes and returns the id of the one that starts its prefill then. */
  private static long nextPrefill(Script script, Effect.StartDecode decode) {
    script.apply(new Event.FirstToken(script.now, decode.attempt()));
    script.apply(new Event.DecodeDone(script.now, decode.attempt(), 10));
    return script.only(Effect.StartPrefill.class).request().value();
  }

  /** Requests that miss their target while they wait. */
  public static class DeadlineTest {
    @Test
    public void interactiveRequestIsRefusedOnceItCannotMeetItsTarget() {
      Script script = withOnePair(Urgency.INTERACTIVE, 1);
      script.toDecode(completion(1));
      script.arrive(completion(2));
      script.pass(2_000);
      assertEquals(script.refusal(2), ErrorKind.OVERLOADED);
      assertTrue(((Effect.Refuse) script.lastEffect(2)).retryAfterMillis() > 0);
    }

    @Test
    public void patientRequestWaitsForItsDeadlineAndIsNotRunAfterIt() {
      Script script = withOnePair(Urgency.PATIENT, 1);
      final Effect.StartDecode first = script.toDecode(completion(1));
      script.arrive(completion(2));
      script.pass(5_000);
      assertEquals(script.lastEffect(2), null);
      script.fail(first.attempt(), FailureCause.REJECTED, Exposure.REFUSED);
      assertEquals(script.only(Effect.StartPrefill.class).request().value(), 2);
    }
  }

  /** The order in which waiting requests are served. */
  public static class OrderTest {
    @Test
    public void workspaceWithManyRequestsDoesNotDelayAnother() {
      Script script = withOnePair(Urgency.PATIENT, 1);
      Effect.StartDecode first = script.toDecode(completion(1));
      for (int i = 2; i < 40; i++) {
        script.arrive(completion(i));
      }
      script.arrive(completion(40, new WorkspaceName("potters"), 4_000, PrefixKeys.NONE));
      List<Long> served = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        served.add(nextPrefill(script, first));
        script.prefilled(script.only(Effect.StartPrefill.class).attempt());
        script.transferred(script.only(Effect.StartTransfer.class).attempt());
        first = script.only(Effect.StartDecode.class);
      }
      assertTrue(served.contains(40L), "served first: " + served);
    }

    @Test
    public void smallPromptIsServedBeforeLongOnes() {
      Script script = withOnePair(Urgency.PATIENT, 1);
      final Effect.StartDecode first = script.toDecode(completion(1));
      for (int i = 2; i < 6; i++) {
        script.arrive(completion(i, WORKSPACE, 30_000, PrefixKeys.NONE));
      }
      script.arrive(completion(6, WORKSPACE, 50, PrefixKeys.NONE));
      assertEquals(nextPrefill(script, first), 6);
    }
  }

  /** Reservations of decode slots. */
  public static class ReservationTest {
    /** Policies, with the number of prefills that they start for two requests and one slot. */
    @DataProvider
    public Object[][] policies() {
      return new Object[][] {{RouterSettings.STRICT, 1}, {RouterSettings.UNRESERVED, 2}};
    }

    @Test(dataProvider = "policies")
    public void strictPolicyStartsNoPrefillWithoutSlot(String policy, int prefills) {
      Script script = new Script(RouterSettings.named(policy).build());
      script.configure(configuration(1, engine("p1", "prefill", 4), engine("d1", "decode", 1)));
      int started = 0;
      for (int i = 1; i <= 2; i++) {
        started += script.arrive(completion(i)).all(Effect.StartPrefill.class).size();
      }
      assertEquals(started, prefills);
    }

    @Test
    public void heldKvCacheGetsTheNextFreeSlot() {
      Script script = new Script(RouterSettings.named(RouterSettings.UNRESERVED).build());
      script.configure(configuration(1, engine("p1", "prefill", 4), engine("d1", "decode", 1)));
      final Effect.StartDecode first = script.toDecode(completion(1));
      script.arrive(completion(2));
      script.prefilled(script.only(Effect.StartPrefill.class).attempt());
      assertTrue(script.all(Effect.StartTransfer.class).isEmpty());
      script.apply(new Event.DecodeDone(script.now, first.attempt(), 10));
      assertEquals(script.only(Effect.StartTransfer.class).request().value(), 2);
    }
  }

  /** Ejected and removed upstreams, older configurations and a draining node. */
  public static class UpstreamTest {
    @Test
    public void failingUpstreamGetsNoRequestsUntilItIsProbed() {
      Upstream[] both = {engine("s1", "service", 8), engine("s2", "service", 8)};
      Script script = new Script().configure(configuration(1, both));
      String failing = "s1";
      for (int i = 1; i <= 40; i++) {
        script.arrive(Fixtures.plain(i, "/read", Optional.empty()));
        Effect.SendPlain send = script.only(Effect.SendPlain.class);
        if (send.upstream().value().equals(failing)) {
          script.fail(send.attempt(), FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
        } else {
          script.apply(new Event.PlainDone(script.now, send.attempt()));
        }
      }
      RouterStatus.UpstreamStatus status = script.router.status().upstreams().getFirst();
      assertTrue(status.ejected(), "three consecutive failures eject the upstream");
      script.pass(1_200);
      for (int i = 41; i <= 60; i++) {
        script.arrive(Fixtures.plain(i, "/read", Optional.empty()));
      }
      status = script.router.status().upstreams().getFirst();
      assertTrue(
          status.outstanding() <= 1,
          "more than one request probes the upstream: " + status.outstanding());
    }

    @Test
    public void removedUpstreamGetsNoNewWorkAndItsKvCacheIsTransferred() {
      Script script = withOnePair(Urgency.PATIENT, 4).arrive(completion(1));
      Effect.StartPrefill prefill = script.only(Effect.StartPrefill.class);
      script.configure(configuration(2, engine("p2", "prefill", 4), engine("d1", "decode", 4)));
      script.prefilled(prefill.attempt());
      assertEquals(script.only(Effect.StartTransfer.class).from().value(), "p1");
      script.arrive(completion(2));
      assertEquals(script.only(Effect.StartPrefill.class).upstream().value(), "p2");
    }

    @Test
    public void olderConfigurationIsIgnored() {
      Script script = withOnePair(Urgency.PATIENT, 4);
      script.configure(configuration(0));
      assertEquals(script.router.status().revision(), new Revision(1));
    }

    @Test
    public void drainingNodeFinishesItsRequestsAndRefusesNewOnes() {
      Script script = withOnePair(Urgency.PATIENT, 4);
      final Effect.StartDecode decode = script.toDecode(completion(1));
      script.apply(new Event.StopRequested(script.now));
      script.arrive(completion(2));
      assertEquals(script.refusal(2), ErrorKind.NOT_READY);
      script.apply(new Event.DecodeDone(script.now, decode.attempt(), 10));
      assertTrue(script.lastEffect(1) instanceof Effect.Complete);
    }
  }

  /** The limits of workspaces, divided among nodes. */
  public static class LimitTest {
    /** The numbers of nodes that share the limit. */
    @DataProvider
    public Object[][] nodes() {
      return new Object[][] {{1}, {8}, {330}};
    }

    @Test(dataProvider = "nodes")
    public void sharesOfAllNodesTogetherKeepTheLimit(int nodes) {
      int limit = 660;
      int accepted = 0;
      for (int node = 0; node < nodes; node++) {
        accepted += acceptedInTenSeconds((double) limit / nodes, limit);
      }
      double excess = (double) accepted / (10 * limit) - 1;
      assertTrue(excess > -0.01 && excess < 0.06, nodes + " nodes: " + excess);
    }

    private static int acceptedInTenSeconds(double share, int limit) {
      Script script = new Script();
      script.configure(
          Fixtures.withLimits(
              configuration(1, engine("s1", "service", 100_000)), new Limits(limit, 0, 0)));
      script.arrive(Fixtures.plain(1, "/read", Optional.empty()));
      script.apply(
          new Event.LimitGranted(
              script.now, WORKSPACE, new LimitShare(share, 0, 0), Long.MAX_VALUE));
      int step = (int) Math.max(1, 250 / share);
      int accepted = 0;
      long end = script.now + 10_000 * Script.MILLI;
      for (long i = 2; script.now < end; i++) {
        script.now += step * Script.MILLI;
        script.arrive(Fixtures.plain(i, "/read", Optional.empty()));
        accepted += script.lastEffects.containsKey(new RequestId(i)) ? 0 : 1;
      }
      return accepted;
    }
  }
}

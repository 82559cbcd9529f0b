/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import static org.larkkeel.router.Fixtures.completion;
import static org.larkkeel.router.Fixtures.configuration;
import static org.larkkeel.router.Fixtures.engine;
import static org.larkkeel.router.Fixtures.plain;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.Optional;
import org.larkkeel.config.Upstream;
import org.larkkeel.config.Urgency;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.Event;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.RequestId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against placing new work at an upstream whose phase label says that it is leaving. */
public class LeavingUpstreamTest {
  private static Upstream leaving(String name, String role) {
    Upstream u = engine(name, role, 4);
    Labels labels =
        Labels.of(
            ImmutableSortedMap.of("role", role, Upstream.PHASE_LABEL, Upstream.PHASE_LEAVING));
    return new Upstream(
        u.name(), u.address(), labels, u.models(), u.slots(), u.fencing(), u.linkBytesPerSecond());
  }

  /** New requests with a leaving upstream in each role. */
  public static class NewWork {
    @Test
    public void goesToOtherUpstreams() {
      Script script =
          new Script()
              .configure(
                  configuration(
                      1,
                      engine("p1", "prefill", 4),
                      leaving("p2", "prefill"),
                      engine("d1", "decode", 4),
                      leaving("d2", "decode"),
                      engine("s1", "service", 4),
                      leaving("s2", "service")));
      for (int i = 1; i <= 2; i++) {
        script.arrive(completion(i));
        Effect.StartPrefill prefill = script.only(Effect.StartPrefill.class);
        assertEquals(prefill.upstream().value(), "p1");
        script.prefilled(prefill.attempt());
        assertEquals(script.only(Effect.StartTransfer.class).to().value(), "d1");
        script.arrive(plain(10 + i, "/read", Optional.empty()));
        assertEquals(script.only(Effect.SendPlain.class).upstream().value(), "s1");
      }
    }
  }

  /** Requests in progress at an upstream that starts to leave. */
  public static class WorkInProgress {
    @Test
    public void isCompleted() {
      Script script =
          new Script()
              .configure(configuration(1, engine("p1", "prefill", 4), engine("d1", "decode", 4)));
      Effect.StartDecode decode = script.toDecode(completion(1));
      script.configure(configuration(2, engine("p1", "prefill", 4), leaving("d1", "decode")));
      assertTrue(script.all(Effect.Cancel.class).isEmpty());
      script.apply(new Event.DecodeDone(script.now, decode.attempt(), 20));
      assertTrue(script.lastEffect(1) instanceof Effect.Complete);
    }
  }

  /** Routes whose upstreams are all leaving. */
  public static class AllLeaving {
    /** Both urgencies of a rule. */
    @DataProvider
    public Object[][] urgencies() {
      return new Object[][] {{Urgency.PATIENT}, {Urgency.INTERACTIVE}};
    }

    @Test(dataProvider = "urgencies")
    public void newRequestIsRefusedAtOnce(Urgency urgency) {
      Upstream[] all = {
        leaving("p1", "prefill"), leaving("d1", "decode"), leaving("s1", "service")
      };
      Script script = new Script().configure(configuration(1, urgency, List.of(all)));
      script.arrive(completion(1));
      script.arrive(plain(2, "/read", Optional.empty()));
      assertRefused(script, 1);
      assertRefused(script, 2);
    }

    @Test
    public void queuedInteractiveRequestIsRefusedAtOnce() {
      Script script = queued(Urgency.INTERACTIVE);
      script.configure(configuration(2, Urgency.INTERACTIVE, List.of(leaving("s1", "service"))));
      assertRefused(script, 2);
    }

    @Test
    public void queuedPatientRequestIsServedByTheNextUpstream() {
      Script script = queued(Urgency.PATIENT);
      script.configure(configuration(2, Urgency.PATIENT, List.of(leaving("s1", "service"))));
      script.configure(configuration(3, Urgency.PATIENT, List.of(engine("s2", "service", 1))));
      assertEquals(script.only(Effect.SendPlain.class).request(), new RequestId(2));
    }

    private static Script queued(Urgency urgency) {
      Script script = new Script();
      script.configure(configuration(1, urgency, List.of(engine("s1", "service", 1))));
      script.arrive(plain(1, "/read", Optional.empty()));
      script.only(Effect.SendPlain.class);
      script.arrive(plain(2, "/read", Optional.empty()));
      assertTrue(script.all(Effect.SendPlain.class).isEmpty());
      return script;
    }

    private static void assertRefused(Script script, long request) {
      assertEquals(script.refusal(request), ErrorKind.NO_UPSTREAM);
      assertTrue(((Effect.Refuse) script.lastEffect(request)).retryAfterMillis() > 0);
    }
  }
}

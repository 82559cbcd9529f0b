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
import static org.larkkeel.router.Fixtures.plain;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.larkkeel.call.Call;
import org.larkkeel.config.Urgency;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.Event;
import org.larkkeel.lib.RequestId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a wrong estimate of the duration of plain calls that is never corrected, because
 * it keeps the router from sending the calls that would correct it.
 */
public class EstimateTest {
  private static final long LONG_DEADLINE_MILLIS = 60_000;

  /** Pauses the node while a call runs, so that the pause counts as the duration of the call. */
  private static Script pausedDuringCall(Urgency urgency, long pauseMillis) {
    Script script =
        new Script()
            .configure(
                configuration(
                    1,
                    urgency,
                    List.of(
                        engine("p1", "prefill", 4),
                        engine("d1", "decode", 1),
                        engine("s1", "service", 4))));
    script.arrive(
        new Call.Plain(
            new RequestId(1), WORKSPACE, Optional.empty(), "/read", false, LONG_DEADLINE_MILLIS));
    Effect.SendPlain send = script.only(Effect.SendPlain.class);
    script.now += pauseMillis * Script.MILLI;
    return script.apply(new Event.PlainDone(script.now, send.attempt()));
  }

  /** Estimates beyond the target or the deadline. */
  public static class Pause {
    /** Pauses longer than the target of 2 s and longer than the deadline of 10 s. */
    @DataProvider
    public Object[][] pauses() {
      return new Object[][] {
        {Urgency.PATIENT, 5_000},
        {Urgency.PATIENT, 15_000},
        {Urgency.INTERACTIVE, 5_000},
        {Urgency.INTERACTIVE, 15_000}
      };
    }

    @Test(dataProvider = "pauses")
    public void idleServiceIsTriedAgain(Urgency urgency, long millis) {
      Script script = pausedDuringCall(urgency, millis);
      script.arrive(plain(2, "/read", Optional.empty()));
      assertEquals(script.only(Effect.SendPlain.class).request(), new RequestId(2));
    }

    /** A late plain call must not wait for free decode slots, which it does not need. */
    @Test
    public void latePlainCallNeedsNoDecodeSlot() {
      Script script = pausedDuringCall(Urgency.PATIENT, 5_000);
      script.toDecode(completion(2));
      script.arrive(plain(3, "/read", Optional.empty()));
      assertEquals(script.only(Effect.SendPlain.class).request(), new RequestId(3));
      script.arrive(plain(4, "/read", Optional.empty()));
      assertEquals(script.only(Effect.SendPlain.class).request(), new RequestId(4));
    }
  }
}

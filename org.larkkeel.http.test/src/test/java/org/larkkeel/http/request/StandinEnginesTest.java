/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.Json;
import org.larkkeel.http.Node;
import org.larkkeel.http.RawCaller;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.standin.AnswerOracle;
import org.larkkeel.standin.EngineRole;
import org.larkkeel.standin.EngineSettings;
import org.larkkeel.standin.EngineStandin;
import org.larkkeel.standin.ServiceSettings;
import org.larkkeel.standin.ServiceStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the upstream protocol against the stand-ins for engines and services. */
public class StandinEnginesTest {
  private static final String MODEL = "m";
  private static final String PROMPT = "a prompt of some length";
  private static final int MAX_TOKENS = 40;
  private static final String BODY =
      "{\"model\":\"m\",\"prompt\":\"" + PROMPT + "\",\"max_tokens\":40,\"stream\":true}";

  /** One prefill engine and two decode engines. */
  public static class Engines {
    private Node node;
    private EngineStandin prefill;
    private EngineStandin one;
    private EngineStandin two;
    private long attempts;

    /** Starts the node and the engines. */
    @BeforeMethod
    public void start() {
      node = new Node();
      attempts = 0;
      prefill = EngineStandin.start(EngineSettings.of("p", EngineRole.PREFILL, MODEL));
      one = EngineStandin.start(EngineSettings.of("d1", EngineRole.DECODE, MODEL));
      two = EngineStandin.start(EngineSettings.of("d2", EngineRole.DECODE, MODEL));
    }

    /** Stops the node and the engines. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      node.close();
      prefill.close();
      one.close();
      two.close();
    }

    /** An answer has exactly the bytes that the engine produces. */
    @Test
    public void answersByteForByte() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("POST", "/v1/completions", "", BODY);
        RequestId id = node.arrival();
        AttemptId attempt = decodeOn(one, id, 0);
        node.await(Event.FirstToken.class);
        Event.DecodeDone done = node.await(Event.DecodeDone.class);
        assertEquals(done.tokens(), AnswerOracle.tokens(PROMPT, MAX_TOKENS));
        node.execute(new Effect.Complete(id, attempt));
        assertEquals(text(caller), AnswerOracle.completeText(MODEL, PROMPT, MAX_TOKENS));
      }
    }

    /** A crash of an engine during a stream loses no token and duplicates none. */
    @Test
    public void resumesElsewhereByteForByte() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("POST", "/v1/completions", "", BODY);
        RequestId id = node.arrival();
        decodeOn(one, id, 0);
        node.await(Event.FirstToken.class);
        one.kill();
        Event.AttemptFailed failed = node.await(Event.AttemptFailed.class);
        assertEquals(failed.cause(), FailureCause.CONNECTION_LOST);
        assertTrue(
            failed.tokens() < AnswerOracle.tokens(PROMPT, MAX_TOKENS),
            "the engine was killed after its last token");
        AttemptId second = decodeOn(two, id, failed.tokens());
        node.await(Event.FirstToken.class);
        node.await(Event.DecodeDone.class);
        node.execute(new Effect.Complete(id, second));
        assertEquals(text(caller), AnswerOracle.completeText(MODEL, PROMPT, MAX_TOKENS));
      }
    }

    /** A cancel during a stream frees the slot. */
    @Test
    public void cancelFreesSlot() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("POST", "/v1/completions", "", BODY);
        RequestId id = node.arrival();
        final AttemptId attempt = decodeOn(one, id, 0);
        node.await(Event.FirstToken.class);
        assertEquals(one.ledger().snapshot().slots().size(), 1);
        caller.close();
        node.await(Event.CallerGone.class);
        node.execute(new Effect.Cancel(attempt, id, node.upstream("d1", one.address())));
        node.execute(new Effect.Forget(id));
        node.await(Event.AttemptFailed.class);
        assertEquals(node.await(Event.CancelSettled.class).outcome(), CancelOutcome.ACKNOWLEDGED);
        assertEquals(one.ledger().snapshot().slots(), ImmutableSet.of());
      }
    }

    private AttemptId decodeOn(EngineStandin engine, RequestId id, int from) throws Exception {
      UpstreamName source = node.upstream("p", prefill.address());
      UpstreamName target = node.upstream(engine.settings().name(), engine.address());
      AttemptId prefilling = new AttemptId(++attempts);
      node.prefill(prefilling, id, source);
      assertTrue(node.await(Event.PrefillDone.class).kvBytes() > 0);
      AttemptId decoding = new AttemptId(++attempts);
      node.transfer(decoding, id, prefilling, source, target);
      node.await(Event.TransferDone.class);
      node.decode(decoding, id, target, from);
      return decoding;
    }

    private static String text(RawCaller caller) throws Exception {
      StringBuilder text = new StringBuilder();
      for (String line : caller.answer().body().lines().toList()) {
        if (line.startsWith("data: {")) {
          JsonNode event = Json.parse(line.substring(6).getBytes(StandardCharsets.UTF_8));
          text.append(event.path("choices").path(0).path("text").asText());
        }
      }
      return text.toString();
    }
  }

  /** A plain service. */
  public static class Services {
    /** A call whose answer is lost may have run; a call that the service refused did not. */
    @Test
    public void distinguishesLostFromRefused() throws Exception {
      try (Node node = new Node();
          ServiceStandin service = ServiceStandin.start(ServiceSettings.DEFAULTS);
          RawCaller caller = node.call()) {
        caller.send("POST", "/orders", "", "{\"ref\":\"r1\"}");
        RequestId id = node.arrival();
        UpstreamName at = node.upstream("s", service.address());
        service.refuseNext(1);
        node.plain(new AttemptId(1), id, at);
        assertEquals(node.await(Event.AttemptFailed.class).exposure(), Exposure.REFUSED);
        service.cutAfterRun(1);
        node.plain(new AttemptId(2), id, at);
        assertEquals(node.await(Event.AttemptFailed.class).exposure(), Exposure.MAY_HAVE_RUN);
      }
    }
  }
}

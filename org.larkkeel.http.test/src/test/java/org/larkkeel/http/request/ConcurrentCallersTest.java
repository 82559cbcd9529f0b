/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ConcurrentHashMultiset;
import com.google.common.collect.Multiset;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.Event;
import org.larkkeel.http.Node;
import org.larkkeel.http.RawCaller;
import org.larkkeel.http.ScriptedServer;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.Test;

/**
 * Runs many callers at once, of which some disconnect, against an upstream that truncates some
 * answers. Guards against lost or doubled outcomes, answers that reach the wrong caller, and
 * requests that stay in the table.
 */
public class ConcurrentCallersTest {
  private static final int CALLERS = 12;
  private static final int REQUESTS_PER_CALLER = 40;
  private static final long TIMEOUT = TimeUnit.SECONDS.toNanos(Node.TIMEOUT_SECONDS);
  private static final long SEED = 42;

  /** Invariants that hold for every interleaving. */
  public static class Invariants {
    private final Multiset<AttemptId> outcomes = ConcurrentHashMultiset.create();
    private final Map<AttemptId, RequestId> requests = new HashMap<>();
    private final AtomicLong lastAttempt = new AtomicLong();
    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private int ended;

    /**
     * Each attempt has one outcome, each request ends once, each caller gets its own answer, and no
     * request is left in the table.
     */
    @Test
    public void holdWithManyCallers() throws Exception {
      AtomicInteger served = new AtomicInteger();
      try (Node node = new Node();
          ScriptedServer service =
              new ScriptedServer(
                  (q, a) -> {
                    int n = served.incrementAndGet();
                    if (n % 7 == 0) {
                      a.raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab").socket().close();
                    } else if (n % 11 == 0) {
                      a.socket().close();
                    } else {
                      a.answer(200, "for " + q.target());
                    }
                  })) {
        UpstreamName at = node.upstream("s", service.address());
        CountDownLatch callers = new CountDownLatch(CALLERS);
        for (int i = 0; i < CALLERS; i++) {
          int caller = i;
          Thread.ofVirtual().start(() -> run(node, caller, callers));
        }
        reduce(node, at);
        assertTrue(callers.await(Node.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(failures.toString(), "[]");
        assertEquals(node.table.size(), 0);
        assertEquals(outcomes.size(), requests.size());
        assertEquals(outcomes.elementSet(), requests.keySet());
        assertTrue(
            answered.get() > CALLERS * REQUESTS_PER_CALLER / 2,
            answered + " requests were answered");
      }
    }

    /** Acts as the reducer until every request has ended. */
    private void reduce(Node node, UpstreamName at) throws Exception {
      while (ended < CALLERS * REQUESTS_PER_CALLER || outcomes.size() < requests.size()) {
        switch (node.next()) {
          case Event.RequestArrived e -> {
            AttemptId attempt = new AttemptId(lastAttempt.incrementAndGet());
            requests.put(attempt, e.call().id());
            node.execute(new Effect.SendPlain(attempt, e.call().id(), at, TIMEOUT));
          }
          case Event.PlainDone e -> {
            outcomes.add(e.attempt());
            end(node, new Effect.Complete(requests.get(e.attempt()), e.attempt()), e.attempt());
          }
          case Event.AttemptFailed e -> {
            outcomes.add(e.attempt());
            RequestId request = requests.get(e.attempt());
            end(
                node,
                new Effect.Refuse(request, ErrorKind.UPSTREAM_FAILED, 0, "It failed."),
                e.attempt());
          }
          case Event.CallerGone e -> {
            if (node.table.find(e.request()).isPresent()) {
              node.execute(new Effect.Forget(e.request()));
              ended++;
            }
          }
          default -> throw new AssertionError("unexpected event");
        }
      }
    }

    private void end(Node node, Effect last, AttemptId attempt) {
      if (node.table.find(requests.get(attempt)).isPresent()) {
        node.execute(last);
        ended++;
      }
    }

    private void run(Node node, int number, CountDownLatch done) {
      Random random = new Random(SEED + number);
      try {
        for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
          String target = "/" + number + "/" + i;
          try (RawCaller caller = node.call()) {
            caller.send("GET", target, "", "");
            if (random.nextInt(5) > 0) {
              check(target, caller.answer());
            }
          }
        }
      } catch (Exception e) {
        failures.add(e.toString());
      } finally {
        done.countDown();
      }
    }

    private void check(String target, RawCaller.Answer answer) throws IOException {
      answered.incrementAndGet();
      boolean expected =
          answer.status() == 200
              ? answer.body().equals("for " + target)
              : answer.status() == 502 && answer.body().contains("may-have-run");
      if (!expected) {
        failures.add(target + " got " + answer.status() + " " + answer.body());
      }
    }
  }
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.http.Json;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.ParseResult;
import org.testng.annotations.Test;

/**
 * Tests of reading the entries of nodes and of streams with odd values in any place, with the stack
 * of a node's threads. The system property {@code larkkeel.fuzz.seed} sets the seed.
 */
public class OddSpecsTest {
  private static final long SEED = Long.getLong("larkkeel.fuzz.seed", 1);
  private static final int CASES = 2_000;
  private static final int STACK_BYTES = 512 << 10;
  private static final long WALL_MILLIS = 1_700_000_000_000L;

  private static final List<String> VALUES =
      List.of(
          "null",
          "true",
          "[]",
          "{}",
          "[[[]]]",
          "-1",
          "1.5",
          "1e400",
          "1e999999999",
          "9223372036854775807",
          "-9223372036854775808",
          "2147483648",
          "9".repeat(900),
          "\"\"",
          "\"\\ud800\"",
          "\"a\\u0000b\"",
          "\"" + "x".repeat(100_000) + "\"",
          "[".repeat(900) + "]".repeat(900),
          "{\"a\":".repeat(900) + "1" + "}".repeat(900));

  private static final List<String> SPECS =
      List.of(
          "{\"service\":\"app\",\"builds\":[\"v1\"],\"ending\":[\"v0\"],"
              + "\"complete\":true,\"era\":1}",
          "{\"streams\":[{\"service\":\"app\",\"build\":\"v1\",\"ids\":[\"s-1\"]}]}",
          "{\"address\":\"10.0.0.1:80\",\"quarantine\":[{\"request\":\"%032x\",\"epoch\":0,"
                  .formatted(7)
              + "\"promptPosition\":1,\"wider\":[\"%032x\"],\"ends\":[{\"upstream\":\"u\","
                  .formatted(8)
              + "\"start\":1,\"atMillis\":2,\"sentMillis\":1,\"streamedMillis\":1}]}]}");

  private static JsonNode json(String text) throws Exception {
    return Json.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Puts a value in a random place of a spec. */
  private static JsonNode place(JsonNode at, JsonNode value, SplittableRandom random) {
    if (at.isEmpty() || random.nextInt(6) == 0) {
      return value;
    }
    int child = random.nextInt(at.size());
    if (at instanceof ArrayNode a) {
      return a.set(child, place(a.get(child), value, random));
    }
    ObjectNode object = (ObjectNode) at;
    String field = ImmutableList.copyOf(object.fieldNames()).get(child);
    object.set(field, place(object.get(field), value, random));
    return object;
  }

  private static void check(ParseResult<?> result) {
    if (result instanceof ParseResult.Unreadable<?> u) {
      assertTrue(u.problem().found().length() <= EntryProblem.MAX_FOUND_CHARS);
    }
  }

  private static void readAll() throws Exception {
    SplittableRandom random = new SplittableRandom(SEED);
    for (int i = 0; i < CASES; i++) {
      JsonNode value = json(VALUES.get(random.nextInt(VALUES.size())));
      JsonNode spec = place(json(SPECS.get(random.nextInt(SPECS.size()))), value, random);
      check(StreamEntry.parse(spec));
      check(QuarantineEntries.read(spec, WALL_MILLIS));
    }
  }

  /** Tests of the readers of specs. */
  public static class Readers {
    // Guards against a value that makes a reader throw, or log without bound.
    @Test
    public void reportProblemsOnly() throws Exception {
      CompletableFuture<Void> result = new CompletableFuture<>();
      Runnable task =
          () -> {
            try {
              readAll();
              result.complete(null);
            } catch (Throwable e) {
              result.completeExceptionally(e);
            }
          };
      Thread thread = new Thread(null, task, "reader", STACK_BYTES);
      thread.start();
      thread.join();
      result.get();
    }
  }
}

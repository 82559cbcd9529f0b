/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.store.InMemoryObjectApi;
import org.larkkeel.store.InMemoryStore;
import org.larkkeel.store.ManualScheduler;

/** An in-memory store and processes that share a log, in virtual time. */
final class LogRig {
  static final Duration AWAIT_TIMEOUT = Duration.ofMinutes(5);
  static final LogOptions SMALL_LIMITS =
      new LogOptions(
          1000, 10, 2, 2, 5, Duration.ofMillis(20), Duration.ofSeconds(2), Duration.ofSeconds(60));

  final ManualScheduler time = new ManualScheduler();
  final InMemoryStore store = new InMemoryStore(time);

  Node node(String host) {
    return new Node(host, SMALL_LIMITS);
  }

  <T> T await(CompletableFuture<T> f) {
    time.runUntil(f::isDone, AWAIT_TIMEOUT);
    return f.join();
  }

  /** One process, with its own connection to the store and to the log. */
  final class Node {
    final ManualScheduler.Process process = time.newProcess();
    final InMemoryObjectApi api = new InMemoryObjectApi(store, process);
    final ObjectLog log;

    Node(String host, LogOptions options) {
      WriterId id = new WriterId(new HostName(host), new Incarnation(1));
      log =
          new ObjectLog(
              api, new LogName("test"), id, process, new Random(host.hashCode()), options);
    }

    AppendResult append(long number, int value) {
      return await(log.append(entry(number, value)).call());
    }

    LogEntry entry(long number, int value) {
      return LogEntry.records(number, log.nextAppend(), List.of(IntNode.valueOf(value)));
    }

    List<Integer> read() {
      return values(await(log.read(0)).entries());
    }
  }

  static List<Integer> values(List<LogEntry> entries) {
    List<Integer> all = new ArrayList<>();
    for (LogEntry e : entries) {
      for (JsonNode r : e.records()) {
        all.add(r.asInt());
      }
    }
    return all;
  }
}

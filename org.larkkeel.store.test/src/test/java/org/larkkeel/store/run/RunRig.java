/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.store.InMemoryObjectApi;
import org.larkkeel.store.InMemoryStore;
import org.larkkeel.store.ManualScheduler;
import org.larkkeel.store.log.LogOptions;
import org.larkkeel.store.log.LogWriterOptions;
import org.larkkeel.store.log.WriterId;

/** An in-memory store and hosts, each with a run log, in virtual time. */
final class RunRig {
  static final Duration AWAIT_TIMEOUT = Duration.ofMinutes(5);
  static final RunLogOptions OPTIONS =
      new RunLogOptions(
          2,
          new RunLimits(Duration.ofHours(1), 1000, 8, 20, Duration.ofSeconds(3)),
          new LogWriterOptions(Duration.ofMillis(20), 1000, 4, 100_000),
          new LogOptions(
              10_000,
              50,
              1,
              8,
              5,
              Duration.ofMillis(20),
              Duration.ofSeconds(1),
              Duration.ofSeconds(60)));

  final ManualScheduler time = new ManualScheduler();
  final InMemoryStore store = new InMemoryStore(time);
  final Set<WriterId> dead = new HashSet<>();
  private long attempts;

  Host host(String name) {
    return new Host(name, 1, OPTIONS);
  }

  <T> T await(CompletableFuture<T> f) {
    time.runUntil(f::isDone, AWAIT_TIMEOUT);
    return f.join();
  }

  static RunId id(String key) {
    return new RunId(new WorkspaceName("tejemanos"), new IdempotencyKey(key));
  }

  static ImmutableSet<HostName> members(Host... hosts) {
    ImmutableSet.Builder<HostName> all = ImmutableSet.builder();
    for (Host h : hosts) {
      all.add(h.id.host());
    }
    return all.build();
  }

  /** Returns all records in the logs of all shards, whichever host wrote them. */
  List<RunRecord> records(RunLogOptions options) {
    List<RunRecord> all = new ArrayList<>();
    for (int shard = 0; shard < options.shards(); shard++) {
      store
          .all("runlog-" + shard)
          .forEach(o -> o.spec().path("records").forEach(r -> all.add(RunRecord.Codec.read(r))));
    }
    return all;
  }

  /** One process on a host, with its own connection to the store and its run log. */
  final class Host {
    final ManualScheduler.Process process = time.newProcess();
    final InMemoryObjectApi api = new InMemoryObjectApi(store, process);
    final WriterId id;
    final RunLog log;

    Host(String name, long incarnation, RunLogOptions options) {
      id = new WriterId(new HostName(name), new Incarnation(incarnation));
      Random random = new Random(id.hashCode());
      log = new RunLog(api, id, process, random, options, w -> !dead.contains(w));
    }

    void kill() {
      process.kill();
      dead.add(id);
    }

    RunToken token() {
      attempts++;
      return new RunToken(id, new AttemptId(attempts));
    }

    ClaimResult claim(String key, String digest) {
      return await(log.claim(new ClaimRequest(id(key), digest, token())));
    }
  }
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.config.Change;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Limits;
import org.larkkeel.config.ObjectId;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.config.Operation;
import org.larkkeel.config.Workspace;
import org.larkkeel.lib.ChangeId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.store.Fault;
import org.larkkeel.store.InMemoryObjectApi;
import org.larkkeel.store.InMemoryStore;
import org.larkkeel.store.ManualScheduler;
import org.larkkeel.store.log.LogName;
import org.larkkeel.store.log.LogOptions;
import org.larkkeel.store.log.ObjectLog;
import org.larkkeel.store.log.WriterId;
import org.testng.annotations.Test;

/** Tests of {@link ConfigStore}. */
public class ConfigStoreTest {

  private static Change put(String id, String workspace, long base) {
    Workspace w =
        new Workspace(
            new WorkspaceName(workspace), Labels.NONE, new Limits(1, 1, 1), Optional.empty());
    return new Change(
        new ChangeId(id),
        "ana",
        1,
        "because",
        new Revision(base),
        ImmutableList.of(new Operation.Put(w)));
  }

  private static Change delete(String id, String workspace, long base) {
    ObjectId target = new ObjectId(ObjectKind.WORKSPACE, workspace);
    return new Change(
        new ChangeId(id),
        "ana",
        1,
        "because",
        new Revision(base),
        ImmutableList.of(new Operation.Delete(target)));
  }

  private static final class Rig {
    final ManualScheduler time = new ManualScheduler();
    final InMemoryStore store = new InMemoryStore(time);

    <T> T await(CompletableFuture<T> f) {
      time.runUntil(f::isDone, Duration.ofMinutes(5));
      return f.join();
    }

    Node node(String host) {
      return new Node(host);
    }

    final class Node {
      final ManualScheduler.Process process = time.newProcess();
      final InMemoryObjectApi api = new InMemoryObjectApi(store, process);
      final List<Long> inForce = new ArrayList<>();
      final ConfigStore config;
      Configuration current = Configuration.EMPTY;

      Node(String host) {
        WriterId id = new WriterId(new HostName(host), new Incarnation(1));
        ObjectLog log =
            new ObjectLog(
                api,
                new LogName(ConfigStore.LOG_NAME),
                id,
                process,
                new Random(host.hashCode()),
                LogOptions.DEFAULT);
        config = new ConfigStore(log, process, this::accepted);
        config.start();
      }

      private void accepted(Configuration c) {
        current = c;
        inForce.add(c.revision().value());
      }

      ProposeResult propose(Change c) {
        return await(config.propose(c));
      }

      void assertNeverReverted() {
        List<Long> sorted = inForce.stream().sorted().distinct().toList();
        assertEquals(inForce, sorted);
      }
    }
  }

  /** Changes that are proposed one after the other. */
  public static class Proposing {

    @Test
    public void acceptedChangeIsInForceOnAllNodesAndInTheAuditTrail() {
      Rig rig = new Rig();
      Rig.Node a = rig.node("a");
      Rig.Node b = rig.node("b");
      assertTrue(
          a.propose(put("c1", "w", 0)) instanceof ProposeResult.Accepted r
              && r.revision().value() == 1);
      rig.time.advance(Duration.ofMillis(100));
      assertEquals(b.current, a.current);
      assertEquals(b.current.workspaces().size(), 1);
      AuditEntry e = rig.await(b.config.audit(Revision.NONE)).get(0);
      assertEquals(e.change().author(), "ana");
      assertEquals(e.change().reason(), "because");
    }

    @Test
    public void sameChangeTwiceIsAcceptedOnce() {
      Rig rig = new Rig();
      Rig.Node a = rig.node("a");
      Rig.Node b = rig.node("b");
      ProposeResult first = a.propose(put("c1", "w", 0));
      assertEquals(b.propose(put("c1", "w", 0)), first);
    }

    @Test
    public void conflictNamesTheOtherChangeAndOtherObjectsDoNotConflict() {
      Rig rig = new Rig();
      Rig.Node a = rig.node("a");
      Rig.Node b = rig.node("b");
      a.propose(put("c1", "w", 0));
      assertTrue(
          b.propose(put("c2", "w", 0)) instanceof ProposeResult.Conflict c
              && c.other().change().id().value().equals("c1"));
      assertTrue(b.propose(put("c3", "other", 0)) instanceof ProposeResult.Accepted);
      assertTrue(b.propose(put("c4", "w", 2)) instanceof ProposeResult.Accepted);
    }

    @Test
    public void invalidChangeIsRefused() {
      Rig rig = new Rig();
      ProposeResult r = rig.node("a").propose(delete("c1", "nobody", 0));
      assertTrue(r instanceof ProposeResult.Invalid, r.toString());
      assertTrue(rig.store.all(ConfigStore.LOG_NAME).isEmpty());
    }

    @Test
    public void outageIsReportedAndNodesKeepTheirConfiguration() {
      Rig rig = new Rig();
      Rig.Node a = rig.node("a");
      a.propose(put("c1", "w", 0));
      rig.store.setOutage(true);
      assertEquals(a.propose(put("c2", "v", 1)), new ProposeResult.Unavailable());
      rig.time.advance(Duration.ofSeconds(60));
      assertEquals(a.current.revision().value(), 1);
      Rig.Node fresh = rig.node("fresh");
      fresh.config.offer(rig.await(a.config.save()));
      rig.time.advance(Duration.ofSeconds(1));
      assertEquals(fresh.current, a.current);
      rig.store.setOutage(false);
      rig.time.advance(Duration.ofSeconds(5));
      assertTrue(fresh.propose(put("c2", "v", 1)) instanceof ProposeResult.Accepted);
      rig.time.advance(Duration.ofSeconds(5));
      assertEquals(a.current, fresh.current);
      fresh.assertNeverReverted();
    }
  }

  /** Changes that are proposed concurrently. */
  public static class ConcurrentChanges {

    @Test
    public void eachChangeIsAcceptedOnceOrRefusedDespiteLostAnswers() {
      for (int seed = 1; seed <= 10; seed++) {
        proposeConcurrently(seed);
      }
    }

    private static void proposeConcurrently(int seed) {
      Rig rig = new Rig();
      Random random = new Random(seed);
      List<Rig.Node> nodes = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        Rig.Node n = rig.node("n" + i);
        n.api.setWriteFaults(
            () -> random.nextInt(8) == 0 ? Fault.values()[random.nextInt(5)] : Fault.NONE);
        nodes.add(n);
      }
      Map<String, CompletableFuture<ProposeResult>> results = new HashMap<>();
      for (int i = 0; i < 100; i++) {
        String id = "c" + i;
        Rig.Node n = nodes.get(random.nextInt(nodes.size()));
        results.put(id, n.config.propose(put(id, "w" + random.nextInt(60), 0)));
        rig.time.advance(Duration.ofMillis(random.nextInt(3)));
      }
      results.values().forEach(rig::await);
      rig.time.advance(Duration.ofSeconds(10));
      check(rig, nodes, results);
    }

    private static void check(
        Rig rig, List<Rig.Node> nodes, Map<String, CompletableFuture<ProposeResult>> results) {
      List<AuditEntry> audit = rig.await(nodes.get(0).config.audit(Revision.NONE));
      Set<String> inLog = new HashSet<>();
      audit.forEach(e -> assertTrue(inLog.add(e.change().id().value()), "accepted twice: " + e));
      int accepted = 0;
      for (var r : results.entrySet()) {
        switch (r.getValue().join()) {
          case ProposeResult.Accepted a -> {
            AuditEntry e = audit.get((int) a.revision().value() - 1);
            assertEquals(e.change().id().value(), r.getKey());
            accepted++;
          }
          case ProposeResult.OutcomeUnknown u -> {}
          case ProposeResult other ->
              assertTrue(
                  !inLog.contains(r.getKey()),
                  r.getKey() + " is in the log, but its result was " + other);
        }
      }
      assertTrue(accepted > 20, "accepted: " + accepted);
      for (Rig.Node n : nodes) {
        n.assertNeverReverted();
        assertEquals(n.current, nodes.get(0).current);
      }
    }
  }
}

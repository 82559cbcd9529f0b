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
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.larkkeel.config.Change;
import org.larkkeel.config.Limits;
import org.larkkeel.config.Operation;
import org.larkkeel.config.Workspace;
import org.larkkeel.lib.ChangeId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.store.InMemoryObjectApi;
import org.larkkeel.store.InMemoryStore;
import org.larkkeel.store.ManualScheduler;
import org.larkkeel.store.log.LogName;
import org.larkkeel.store.log.LogOptions;
import org.larkkeel.store.log.ObjectLog;
import org.larkkeel.store.log.WriterId;
import org.testng.annotations.Test;

/** Tests the number of store calls that the configuration causes, by the number of nodes. */
public class ConfigCostTest {
  private static final Duration BETWEEN_CHANGES = Duration.ofMillis(43_200);
  private static final int CHANGES = 20;

  /** Calls at a rate of 2,000 changes a day. */
  public static class Calls {

    @Test
    public void nodesCostOneWatchPerMinuteAndChangeCostIsIndependentOfNodes() {
      for (int nodes : new int[] {8, 330}) {
        measure(nodes);
      }
    }

    private static void measure(int nodes) {
      ManualScheduler time = new ManualScheduler();
      InMemoryStore store = new InMemoryStore(time);
      List<Long> revisions = new ArrayList<>();
      List<ConfigStore> all = new ArrayList<>();
      for (int i = 0; i < nodes; i++) {
        int node = i;
        revisions.add(0L);
        all.add(start(time, store, i, r -> revisions.set(node, r)));
      }
      time.advance(Duration.ofSeconds(5));
      final int reads = store.reads();
      final int writes = store.writes();
      final int watches = store.watches();
      for (int c = 1; c <= CHANGES; c++) {
        all.get(c % nodes).propose(change(c));
        time.advance(Duration.ofSeconds(1));
        long expected = c;
        assertTrue(
            revisions.stream().allMatch(r -> r == expected), "not in force within 1 s: " + c);
        time.advance(BETWEEN_CHANGES.minusSeconds(1));
      }
      double seconds = CHANGES * BETWEEN_CHANGES.toMillis() / 1000.0;
      System.out.printf(
          "nodes=%d reads/s=%.3f writes/s=%.3f watches/s=%.3f%n",
          nodes,
          (store.reads() - reads) / seconds,
          (store.writes() - writes) / seconds,
          (store.watches() - watches) / seconds);
      assertEquals(store.writes() - writes, CHANGES);
      assertTrue(store.reads() - reads <= 4 * CHANGES, "reads: " + (store.reads() - reads));
      assertTrue((store.watches() - watches) / seconds <= nodes / 59.0);
    }

    private static ConfigStore start(
        ManualScheduler time, InMemoryStore store, int i, Consumer<Long> listener) {
      ManualScheduler.Process p = time.newProcess();
      ObjectLog log =
          new ObjectLog(
              new InMemoryObjectApi(store, p),
              new LogName(ConfigStore.LOG_NAME),
              new WriterId(new HostName("n" + i), new Incarnation(1)),
              p,
              new Random(i),
              LogOptions.DEFAULT);
      ConfigStore s = new ConfigStore(log, p, c -> listener.accept(c.revision().value()));
      s.start();
      return s;
    }

    private static Change change(int c) {
      Workspace w =
          new Workspace(
              new WorkspaceName("w" + c), Labels.NONE, new Limits(1, 1, 1), Optional.empty());
      return new Change(
          new ChangeId("c" + c),
          "ana",
          1,
          "because",
          new Revision(c - 1),
          ImmutableList.of(new Operation.Put(w)));
    }
  }
}

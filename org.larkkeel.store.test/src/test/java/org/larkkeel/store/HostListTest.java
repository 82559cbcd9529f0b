/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link HostList}. */
public class HostListTest {

  /** Following the platform's list. */
  public static class Following {

    @Test
    public void followsWithLagAndKeepsTheListInAnOutage() {
      ManualScheduler time = new ManualScheduler();
      InMemoryStore store = new InMemoryStore(time);
      ManualScheduler.Process p = time.newProcess();
      InMemoryObjectApi api = new InMemoryObjectApi(store, p).setWatchLag(Duration.ofSeconds(2));
      store.create(key("a"), "Host", spec("live"));
      store.create(key("bad"), "Host", spec("?"));
      HostList hosts = new HostList(api, p, new Random(1), l -> {});
      hosts.start();
      time.advance(Duration.ofSeconds(1));
      assertEquals(phases(hosts), ImmutableList.of(HostPhase.LIVE));
      StoredObject a = store.get(key("a"));
      store.update(a.key(), "Host", spec("leaving"), a.resourceVersion());
      time.advance(Duration.ofSeconds(3));
      assertEquals(phases(hosts), ImmutableList.of(HostPhase.LEAVING));
      store.setOutage(true);
      store.create(key("b"), "Host", spec("live"));
      time.advance(Duration.ofSeconds(70));
      assertEquals(phases(hosts), ImmutableList.of(HostPhase.LEAVING));
      store.setOutage(false);
      time.advance(Duration.ofSeconds(10));
      assertEquals(phases(hosts), ImmutableList.of(HostPhase.LEAVING, HostPhase.LIVE));
    }

    private static ObjectKey key(String name) {
      return new ObjectKey(HostList.COLLECTION, name);
    }

    private static ImmutableList<HostPhase> phases(HostList hosts) {
      return hosts.current().orElseThrow().stream()
          .map(HostEntry::phase)
          .collect(ImmutableList.toImmutableList());
    }

    private static ObjectNode spec(String phase) {
      return JsonNodeFactory.instance
          .objectNode()
          .put("address", "127.0.0.1:7000")
          .put("dataCentre", "pereira")
          .put("phase", phase);
    }
  }
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Entries without a start, which another writer may have left. */
public class MissingStartsTest {
  private static RelayUpstream upstream(String name, long start) {
    return new RelayUpstream(
        new UpstreamLife(new UpstreamName(name), new Incarnation(start)),
        new ServiceName("app"),
        "10.0.0.1:80",
        new DataCentreName("dc-1"),
        1,
        Stage.WHOLE,
        false);
  }

  /** Lists by how many entries tell their start, and how many of the others are taken out. */
  public static class InList {
    @DataProvider
    static Object[][] lists() {
      return new Object[][] {{0, 5, 0}, {5, 0, 0}, {4, 1, 1}, {3, 2, 2}, {1, 4, 0}, {2, 2, 0}};
    }

    @Test(dataProvider = "lists")
    public void areTakenOutWhereMostTellTheirs(int telling, int silent, int out) {
      List<RelayUpstream> all = new ArrayList<>();
      for (int i = 0; i < telling; i++) {
        all.add(upstream("tells-" + i, 1_000 + i));
      }
      for (int i = 0; i < silent; i++) {
        all.add(upstream("silent-" + i, 0));
      }
      assertEquals(MissingStarts.among(all).size(), out);
      assertEquals(
          MissingStarts.among(all).stream().filter(n -> n.value().startsWith("silent")).count(),
          out);
    }
  }
}

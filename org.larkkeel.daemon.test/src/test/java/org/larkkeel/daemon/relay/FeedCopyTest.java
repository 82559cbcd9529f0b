/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.larkkeel.http.Json;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link FeedCopy}. */
public class FeedCopyTest {
  /** Objects that can not be read. */
  public static class Unreadable {
    @DataProvider
    static Object[][] objects() {
      return new Object[][] {{"null"}, {"7"}, {"{}"}, {"{\"name\":\"../x\",\"spec\":{}}"}};
    }

    @Test(dataProvider = "objects")
    public void areSkipped(String bad) throws Exception {
      String good = "{\"name\":\"%s\",\"version\":3,\"spec\":{}}";
      String copy =
          "{\"upstreams\":{\"version\":9,\"objects\":[%s,%s,%s]}}"
              .formatted(good.formatted("a"), bad, good.formatted("z"));
      FeedCopy read = FeedCopy.fromJson(Json.parse(copy.getBytes(StandardCharsets.UTF_8)));
      assertEquals(
          read.upstreams().objects("servers").stream().map(o -> o.key().name()).toList(),
          List.of("a", "z"));
    }
  }
}

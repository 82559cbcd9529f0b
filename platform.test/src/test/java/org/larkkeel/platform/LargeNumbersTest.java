/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.larkkeel.http.Json;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.store.ParseResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests numbers in the platform's configuration that are beyond 64 bits. */
public class LargeNumbersTest {
  private static final String ROUTE =
      """
      {"version": 7, "routes": [{"name": "r", "host": "a.example", "path_prefix": "/a/",
       "kind": "safe", "service": "app", "timeout_ms": %s}]}\
      """;

  /** Returns timeouts whose low 64 bits are negative, zero, or a short time. */
  @DataProvider
  static Object[][] timeouts() {
    return new Object[][] {
      {"9223372036854775808"}, {"18446744073709551616"}, {"18446744073709551617"}, {"1e400"}
    };
  }

  /** Guards against a timeout that is what remains of a number whose high bits were dropped. */
  @Test(dataProvider = "timeouts")
  public void longTimeoutIsTheLongestOne(String timeout) throws IOException {
    ObjectNode spec = (ObjectNode) Json.parse(ROUTE.formatted(timeout).getBytes(UTF_8));
    long millis =
        switch (PlatformConfiguration.read(spec)) {
          case ParseResult.Readable<RelayConfiguration> r ->
              r.value().match("a.example", "/a/b").map(RelayRule::timeoutMillis).orElseThrow();
          case ParseResult.Unreadable<RelayConfiguration> u ->
              throw new AssertionError(u.problem());
        };
    assertEquals(millis, TimeUnit.DAYS.toMillis(1));
  }
}

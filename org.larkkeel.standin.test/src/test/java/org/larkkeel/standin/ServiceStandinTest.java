/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link ServiceStandin}. */
public class ServiceStandinTest {

  /** Calls that must not be executed twice, and lookups. */
  public static class Changes {
    /** The ledger counts executions whose answer was lost, but not refused calls. */
    @Test
    public void countsExecutions() throws Exception {
      try (ServiceStandin service = ServiceStandin.start(ServiceSettings.DEFAULTS)) {
        Http http = new Http(service.address());
        String body = "{\"ref\":\"r1\"}";
        service.refuseNext(1);
        Http.Answer refused = http.call("POST", "/permits", body);
        assertEquals(refused.status(), 503);
        assertEquals(refused.response().headers().firstValue("X-Not-Run").orElse(""), "true");
        service.cutAfterRun(1);
        assertTrue(http.isConnectionClosed("POST", "/permits", body));
        Http.Answer second = http.call("POST", "/permits", body, "Idempotency-Key", "k");
        assertEquals(second.body().toString(), ServiceOracle.change("/permits", "r1", 2));
        assertEquals(service.ledger().snapshot().byReference().get("r1"), Integer.valueOf(2));
        assertEquals(service.ledger().snapshot().byKey().get("k"), Integer.valueOf(1));
        assertEquals(service.ledger().snapshot().duplicated(), 1);
      }
    }

    /** The answer to a lookup must be that of the oracle. */
    @Test
    public void lookup() throws Exception {
      try (ServiceStandin service = ServiceStandin.start(ServiceSettings.DEFAULTS)) {
        Http.Answer answer = new Http(service.address()).call("GET", "/orders/7?full=1", "");
        assertEquals(answer.body().toString(), ServiceOracle.lookup("/orders/7?full=1"));
      }
    }
  }
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.larkkeel.http.Json;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.Stage;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PlatformUpstreams}. */
public class PlatformUpstreamsTest {
  private static ParseResult<RelayUpstream> read(String name, String change) throws Exception {
    ObjectNode spec = Entries.valid();
    spec.setAll((ObjectNode) Json.parse(change.getBytes(UTF_8)));
    return PlatformUpstreams.read(
        new StoredObject(
            new ObjectKey(PlatformNames.SERVERS_KIND, name), "", new StoreVersion(1, 1), spec));
  }

  private static RelayUpstream readable(String change) throws Exception {
    return switch (read("i-1", change)) {
      case ParseResult.Readable<RelayUpstream> r -> r.value();
      case ParseResult.Unreadable<RelayUpstream> u -> throw new AssertionError(u.problem());
    };
  }

  private static EntryProblem problem(ParseResult<RelayUpstream> reading) {
    return switch (reading) {
      case ParseResult.Readable<RelayUpstream> r -> throw new AssertionError(r.value());
      case ParseResult.Unreadable<RelayUpstream> u -> u.problem();
    };
  }

  /** Tests of valid entries. */
  public static class Valid {
    @DataProvider
    static Object[][] stages() {
      return new Object[][] {
        {"{\"stage\":\"prefill\"}", Stage.PREFILL},
        {"{\"stage\":\"decode\"}", Stage.DECODE},
        {"{\"stage\":\"\"}", Stage.WHOLE},
        {"{}", Stage.WHOLE},
      };
    }

    @Test(dataProvider = "stages")
    public void haveStages(String change, Stage expected) throws Exception {
      assertEquals(readable(change).stage(), expected);
    }

    @Test
    public void areReadAsWritten() throws Exception {
      RelayUpstream u = readable("{\"born\":1790000000123,\"slots\":7,\"state\":\"draining\"}");
      assertEquals(u.incarnation().incarnation(), new Incarnation(1_790_000_000_123L));
      assertEquals(u.slots(), 7);
      assertTrue(u.leaving());
    }

    @DataProvider
    static Object[][] builds() {
      return new Object[][] {
        {"{}", "v1"},
        {"{\"version\":\"v1.1\"}", "v1.1"},
        {"{\"version\":7}", "7"},
        {"{\"version\":null}", ""},
      };
    }

    /**
     * Guards against an upstream that is not used since it does not name its build as others do.
     */
    @Test(dataProvider = "builds")
    public void nameTheirBuilds(String change, String expected) throws Exception {
      assertEquals(readable(change).build().value(), expected);
    }

    @Test
    public void mayLackTheStart() throws Exception {
      assertEquals(readable("{}").incarnation().incarnation(), new Incarnation(0));
    }

    @Test
    public void mayHaveUnknownFields() throws Exception {
      assertEquals(readable("{\"other\":[{}]}").slots(), 6);
    }
  }

  /** Tests of invalid entries, as other writers may make them. */
  public static class Invalid {
    @DataProvider
    static Object[][] changes() {
      return new Object[][] {
        {"{\"address\":\"10.0.0.1\"}", Reason.MALFORMED, "address"},
        {"{\"address\":\"10.0.0.1:0\"}", Reason.MALFORMED, "address"},
        {"{\"version\":{}}", Reason.WRONG_TYPE, "version"},
        {"{\"version\":\"v 1\"}", Reason.MALFORMED, "version"},
        {"{\"version\":" + "9".repeat(65) + "}", Reason.MALFORMED, "version"},
        {"{\"version\":-" + "9".repeat(900) + "}", Reason.MALFORMED, "version"},
        {"{\"address\":\"10.0.0.1:99999\"}", Reason.MALFORMED, "address"},
        {"{\"address\":\"host:80\"}", Reason.MALFORMED, "address"},
        {"{\"address\":7}", Reason.WRONG_TYPE, "address"},
        {"{\"state\":\"paused\"}", Reason.UNKNOWN_WORD, "state"},
        {"{\"state\":\"Ready\"}", Reason.UNKNOWN_WORD, "state"},
        {"{\"state\":null}", Reason.WRONG_TYPE, "state"},
        {"{\"stage\":\"middle\"}", Reason.UNKNOWN_WORD, "stage"},
        {"{\"stage\":null}", Reason.WRONG_TYPE, "stage"},
        {"{\"slots\":\"6\"}", Reason.WRONG_TYPE, "slots"},
        {"{\"slots\":0}", Reason.OUT_OF_RANGE, "slots"},
        {"{\"slots\":1.5}", Reason.WRONG_TYPE, "slots"},
        {"{\"slots\":4294967297}", Reason.OUT_OF_RANGE, "slots"},
        {"{\"slots\":99999999999999999999}", Reason.OUT_OF_RANGE, "slots"},
        {"{\"service\":7}", Reason.WRONG_TYPE, "service"},
        {"{\"service\":\"\"}", Reason.MALFORMED, "service"},
        {"{\"zone\":[\"dc-1\"]}", Reason.WRONG_TYPE, "zone"},
        {"{\"born\":\"1\"}", Reason.WRONG_TYPE, "born"},
        {"{\"born\":1.5}", Reason.WRONG_TYPE, "born"},
        {"{\"born\":null}", Reason.WRONG_TYPE, "born"},
        {"{\"born\":-1}", Reason.OUT_OF_RANGE, "born"},
      };
    }

    @Test(dataProvider = "changes")
    public void reportFieldAndReason(String change, Reason reason, String field) throws Exception {
      EntryProblem p = problem(read("i-1", change));
      assertEquals(p.reason(), reason);
      assertEquals(p.field(), field);
    }

    @Test
    public void reportMissingField() throws Exception {
      ObjectNode spec = Entries.valid();
      spec.remove("slots");
      EntryProblem p = problem(PlatformUpstreams.read(Entries.object("i-1", spec)));
      assertEquals(p, new EntryProblem(Reason.MISSING, "slots", "nothing", "a whole number"));
    }

    @Test
    public void haveInvalidNames() throws Exception {
      assertEquals(problem(read("i-", "{}")).field(), "name");
    }

    @Test
    public void areNotObjects() throws Exception {
      assertEquals(
          problem(PlatformUpstreams.read(Entries.object("i-1", Json.parse("[1]".getBytes(UTF_8))))),
          new EntryProblem(Reason.WRONG_TYPE, "spec", "an array", "an object"));
    }

    @Test
    public void areReportedInBoundedPrintableText() throws Exception {
      String change = "{\"state\":\"" + "\\u0007\\n\\\"".repeat(100) + "\"}";
      String found = problem(read("i-1", change)).found();
      assertEquals(found.length(), EntryProblem.MAX_FOUND_CHARS);
      assertTrue(found.matches("[ !#-~]+"), found);
    }
  }
}

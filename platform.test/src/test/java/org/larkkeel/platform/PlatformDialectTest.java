/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.relay.AnswerVerdict;
import org.larkkeel.http.relay.SendMetadata;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.relay.CallerKey;
import org.larkkeel.relay.Prompt;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.PromptPart;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PlatformDialect}. */
public class PlatformDialectTest {
  /** Tests of the verdict on the head of an answer. */
  public static class Verdict {
    /** The status, whether the answer has the stamp and the not-run header, and the verdict. */
    @DataProvider
    public static Object[][] heads() {
      return new Object[][] {
        {200, true, false, AnswerVerdict.GOOD},
        {404, true, false, AnswerVerdict.REJECTED},
        {500, true, false, AnswerVerdict.FAILED},
        {503, true, false, AnswerVerdict.UNUSABLE},
        {503, true, true, AnswerVerdict.NOT_RUN},
        {429, false, true, AnswerVerdict.NOT_RUN},
        {200, false, false, AnswerVerdict.UNUSABLE},
        {421, false, false, AnswerVerdict.WRONG_UPSTREAM},
        {421, false, true, AnswerVerdict.WRONG_UPSTREAM},
      };
    }

    @Test(dataProvider = "heads")
    public void followsFromStatusAndHeaders(
        int status, boolean signed, boolean notRun, AnswerVerdict expected) {
      HeaderMap headers = new HeaderMap();
      headers.put(PlatformNames.REQUEST_ID, "a");
      if (signed) {
        headers.put(PlatformNames.STAMP, "s");
      }
      if (notRun) {
        headers.put(PlatformNames.NOT_RUN, "1");
      }
      assertEquals(
          new PlatformDialect().verdict("a", new Purpose.Run(), status, headers), expected);
    }

    /** Returns the statuses by which a runner says that a request has not run, and a purpose. */
    @DataProvider
    public static Object[][] unidentified() {
      return new Object[][] {
        {421, new Purpose.Run()},
        {503, new Purpose.Run()},
        {429, new Purpose.Run()},
        {200, new Purpose.ReadPrompt()},
        {503, new Purpose.ReadPrompt()},
      };
    }

    // Guards against a call that is refused as not run because of an answer that names no request.
    @Test(dataProvider = "unidentified")
    public void isUnusableWithoutId(int status, Purpose purpose) {
      HeaderMap headers = new HeaderMap();
      headers.put(PlatformNames.NOT_RUN, "1");
      assertEquals(
          new PlatformDialect().verdict("a", purpose, status, headers), AnswerVerdict.UNUSABLE);
    }

    @Test
    public void isUnusableForAnotherRequest() {
      HeaderMap headers = new HeaderMap();
      headers.put(PlatformNames.REQUEST_ID, "b");
      headers.put(PlatformNames.STAMP, "s");
      assertEquals(
          new PlatformDialect().verdict("a", new Purpose.Run(), 200, headers),
          AnswerVerdict.UNUSABLE);
    }
  }

  /** Tests of the headers of clients. */
  public static class ClientHeaders {
    @Test
    public void identifyThePromptByItsLastPart() {
      Prompt prompt = promptOf("5c1e07a2:800, e4402b7d:250");
      assertEquals(prompt.key(), new PromptKey("e4402b7d"));
    }

    @Test
    public void nameAllPartsOfThePromptInOrder() {
      Prompt prompt = promptOf("5c1e07a2:800,91bd3f06:410 , e4402b7d:250");
      assertEquals(
          prompt.sharedParts(),
          ImmutableList.of(new PromptPart("5c1e07a2"), new PromptPart("91bd3f06")));
    }

    @Test
    public void mayHaveEmptyPartsInTheListOfThePrompt() {
      assertEquals(promptOf(" ,:7,,5c1e07a2"), Prompt.of(new PromptKey("5c1e07a2")));
      assertEquals(promptOf(""), Prompt.NONE);
    }

    private static Prompt promptOf(String entries) {
      HeaderMap headers = new HeaderMap();
      headers.put(PlatformNames.PREFIX_HASH, entries);
      return new PlatformDialect().readMetadata(headers).prompt();
    }

    @Test
    public void haveNoPromptKeyWithoutPromptParts() {
      assertEquals(new PlatformDialect().readMetadata(new HeaderMap()).prompt(), Prompt.NONE);
    }

    @Test
    public void haveAtMostOneKey() {
      HeaderMap headers = new HeaderMap();
      headers.put(PlatformNames.CREDENTIAL, "key-a");
      assertEquals(
          new PlatformDialect().readMetadata(headers).key(), Optional.of(CallerKey.of("key-a")));
      headers.add(PlatformNames.CREDENTIAL, "key-b");
      assertMalformed(headers);
    }

    @DataProvider
    static Object[][] invalidKeys() {
      return new Object[][] {{""}, {"two words"}, {"clé"}, {"x".repeat(300)}};
    }

    @Test(dataProvider = "invalidKeys")
    public void mayNotHaveInvalidKey(String key) {
      HeaderMap headers = new HeaderMap();
      headers.put(PlatformNames.CREDENTIAL, key);
      assertMalformed(headers);
    }

    private static void assertMalformed(HeaderMap headers) {
      try {
        new PlatformDialect().readMetadata(headers);
      } catch (LarkkeelException e) {
        assertEquals(e.kind(), ErrorKind.MALFORMED_REQUEST);
        assertFalse(e.getMessage().contains("key-"), e.getMessage());
        return;
      }
      throw new AssertionError("malformed headers were accepted");
    }

    @DataProvider
    static Object[][] lastEvents() {
      return new Object[][] {{null, false}, {"0", false}, {"12", true}, {"no-number", true}};
    }

    @Test(dataProvider = "lastEvents")
    public void resumeAfterAnEvent(String last, boolean expected) {
      HeaderMap headers = new HeaderMap();
      if (last != null) {
        headers.put(PlatformNames.LAST_EVENT_ID, last);
      }
      assertEquals(new PlatformDialect().readMetadata(headers).resumesStream(), expected);
    }
  }

  /** Tests of the headers that are sent to runners. */
  public static class RunnerHeaders {
    private static final RelayUpstream SOURCE =
        new RelayUpstream(
            UpstreamIncarnation.unknown(new UpstreamName("i-1")),
            new ServiceName("model"),
            "10.0.0.1:80",
            new DataCentreName("dc-1"),
            6,
            Stage.PREFILL,
            false);

    private static SendMetadata metadata(Purpose purpose, Optional<WorkspaceName> workspace) {
      return new SendMetadata(SOURCE, purpose, 1_000, OptionalLong.empty(), workspace);
    }

    /** Each purpose of an attempt. */
    @DataProvider
    static Object[][] purposes() {
      return new Object[][] {
        {new Purpose.Run()},
        {new Purpose.Fetch(SOURCE)},
        {new Purpose.ReadPrompt()},
        {new Purpose.TakeOver(SOURCE, "h")},
        {new Purpose.Continue(SOURCE, "h")}
      };
    }

    private static ListMultimap<HttpString, String> forged() {
      ListMultimap<HttpString, String> headers = ArrayListMultimap.create();
      headers.put(PlatformNames.CREDENTIAL, "key-a");
      headers.put(new HttpString("x-credential"), "key-b");
      headers.put(new HttpString("x-tenant"), "forged");
      headers.put(PlatformNames.TENANT, "forged-too");
      return headers;
    }

    @Test(dataProvider = "purposes")
    public void haveTheTenantAndNoKey(Purpose purpose) {
      ListMultimap<HttpString, String> headers = forged();
      new PlatformDialect()
          .prepare(headers, metadata(purpose, Optional.of(new WorkspaceName("huka270"))));
      assertEquals(headers.get(PlatformNames.TENANT), List.of("huka270"));
      assertFalse(headers.containsKey(PlatformNames.CREDENTIAL));
    }

    @Test(dataProvider = "purposes")
    public void haveNoTenantForAnonymousClients(Purpose purpose) {
      ListMultimap<HttpString, String> headers = forged();
      new PlatformDialect().prepare(headers, metadata(purpose, Optional.empty()));
      assertFalse(headers.containsKey(PlatformNames.TENANT));
      assertFalse(headers.containsKey(PlatformNames.CREDENTIAL));
    }

    @Test
    public void haveTheSourceToFetchThePromptFrom() {
      ListMultimap<HttpString, String> headers = ArrayListMultimap.create();
      headers.put(PlatformNames.KV_FETCH, "10.9.9.9:80");
      new PlatformDialect().prepare(headers, metadata(new Purpose.Fetch(SOURCE), Optional.empty()));
      assertEquals(headers.get(PlatformNames.KV_FETCH), List.of("10.0.0.1:80"), "not the client's");
    }
  }
}

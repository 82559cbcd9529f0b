/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.larkkeel.config.Change;
import org.larkkeel.config.ChangeCodec;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Limits;
import org.larkkeel.config.ObjectId;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.config.Operation;
import org.larkkeel.config.Workspace;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.ChangeId;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.WorkspaceName;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link OperatorApi} over HTTP, with a {@link FakeOperatorService}. */
public class OperatorApiTest {
  private static final String VIEWER_TOKEN = "viewer-secret";
  private static final String OPERATOR_TOKEN = "operator-secret";
  private static final long NOW = 1_234;
  private static final Workspace WORKSPACE =
      new Workspace(new WorkspaceName("w"), Labels.NONE, Limits.NONE, Optional.empty());

  private OperatorApiTest() {}

  /** Starts a server for each test. */
  public abstract static class Fixture {
    FakeOperatorService service;
    private Undertow server;
    private HttpClient client;

    /** Starts the server. */
    @BeforeMethod
    public void start() {
      service = new FakeOperatorService();
      OperatorTokens tokens =
          new OperatorTokens(
              ImmutableMap.of(
                  OperatorTokens.sha256(VIEWER_TOKEN), new Principal("vera", OperatorRole.VIEWER),
                  OperatorTokens.sha256(OPERATOR_TOKEN),
                      new Principal("ana", OperatorRole.OPERATOR)));
      InstantSource clock = InstantSource.fixed(Instant.ofEpochMilli(NOW));
      server =
          Undertow.builder()
              .setIoThreads(1)
              .setWorkerThreads(1)
              .addHttpListener(0, "127.0.0.1", new OperatorApi(service, tokens, clock))
              .build();
      server.start();
      client = HttpClient.newHttpClient();
    }

    /** Stops the server. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      client.close();
      server.stop();
    }

    HttpResponse<byte[]> get(String token, String path) {
      return send(request(token, path).GET());
    }

    HttpResponse<byte[]> post(String token, String path, String body) {
      return send(request(token, path).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    HttpResponse<byte[]> propose(String token, String query, Change change) {
      return post(token, OperatorPaths.CHANGES + query, ChangeCodec.toJson(change).toString());
    }

    private HttpRequest.Builder request(String token, String path) {
      InetSocketAddress address =
          (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
      return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
          .header("Authorization", "Bearer " + token);
    }

    private HttpResponse<byte[]> send(HttpRequest.Builder request) {
      try {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
      } catch (IOException | InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  private static <T> T read(HttpResponse<byte[]> response, Class<T> type) {
    try {
      return OperatorCodec.read(response.body(), type);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static Change change(String id, long base, Operation operation) {
    return new Change(
        new ChangeId(id), "forged", 1, "why", new Revision(base), ImmutableList.of(operation));
  }

  /** Authentication and authorisation by tokens and roles. */
  public static class Access extends Fixture {
    /** Returns token, method, path and the expected status. */
    @DataProvider
    public Object[][] requests() {
      return new Object[][] {
        {"unknown", "GET", OperatorPaths.STATUS, 401},
        {"", "GET", OperatorPaths.CONFIGURATION, 401},
        {VIEWER_TOKEN, "GET", OperatorPaths.STATUS, 200},
        {VIEWER_TOKEN, "POST", OperatorPaths.DRAIN, 403},
        {VIEWER_TOKEN, "POST", OperatorPaths.CHANGES, 403},
        {VIEWER_TOKEN, "POST", OperatorPaths.CHANGES + "?dryRun=true", 422},
        {OPERATOR_TOKEN, "POST", OperatorPaths.DRAIN, 200},
        {OPERATOR_TOKEN, "POST", OperatorPaths.CHANGES + "?dryRun=maybe", 400},
        {OPERATOR_TOKEN, "GET", OperatorPaths.CHANGES + "?limit=0", 400},
        {OPERATOR_TOKEN, "GET", OperatorPaths.EXPLANATION + "?workspace=w", 400},
        {OPERATOR_TOKEN, "GET", "/operator/v1/none", 404},
        {OPERATOR_TOKEN, "GET", OperatorPaths.DRAIN, 405},
      };
    }

    @Test(dataProvider = "requests")
    public void statusFollowsTokenAndRequest(String token, String method, String path, int status) {
      HttpResponse<byte[]> response =
          method.equals("GET") ? get(token, path) : post(token, path, "{}");
      assertEquals(response.statusCode(), status);
      boolean drained = path.equals(OperatorPaths.DRAIN) && status == 200;
      assertEquals(service.drains(), drained ? 1 : 0);
      if (status != 200) {
        ProblemDocument problem = read(response, ProblemDocument.class);
        assertEquals(problem.status(), status);
        assertFalse(problem.remedy().isEmpty());
      }
    }

    @Test
    public void tokensAreNeverLogged() {
      Logger logger = (Logger) LoggerFactory.getLogger(OperatorApi.class);
      logger.setLevel(Level.ALL);
      ListAppender<ILoggingEvent> appender = new ListAppender<>();
      appender.start();
      logger.addAppender(appender);
      get(OPERATOR_TOKEN, OperatorPaths.STATUS);
      get("wrong-secret", OperatorPaths.STATUS);
      logger.detachAppender(appender);
      logger.setLevel(null);
      assertEquals(appender.list.size(), 2);
      assertTrue(appender.list.stream().noneMatch(e -> e.getFormattedMessage().contains("secret")));
    }
  }

  /** Proposals of changes: accepted, conflicting, invalid and failed ones. */
  public static class Proposals extends Fixture {
    private static final Operation PUT = new Operation.Put(WORKSPACE);

    @Test
    public void authorAndTimeComeFromTheServer() {
      HttpResponse<byte[]> response = propose(OPERATOR_TOKEN, "", change("a", 0, PUT));
      assertEquals(read(response, ProposalOutcome.Accepted.class).revision(), new Revision(1));
      AuditPage audit = read(get(VIEWER_TOKEN, OperatorPaths.CHANGES), AuditPage.class);
      Change signed = audit.entries().getFirst().change();
      assertEquals(signed, change("a", 0, PUT).withAuthorAndTime("ana", NOW));
      Configuration now = read(get(VIEWER_TOKEN, OperatorPaths.CONFIGURATION), Configuration.class);
      assertEquals(now.workspaces().get(WORKSPACE.name()), WORKSPACE);
      assertEquals(now.revision(), new Revision(1));
    }

    @Test
    public void conflictNamesTheOtherChange() {
      propose(OPERATOR_TOKEN, "", change("first", 0, PUT));
      HttpResponse<byte[]> response = propose(OPERATOR_TOKEN, "", change("second", 0, PUT));
      assertEquals(response.statusCode(), 409);
      ProblemDocument problem = read(response, ProblemDocument.class);
      assertEquals(problem.conflicts().getFirst().change().id(), new ChangeId("first"));
      assertTrue(problem.detail().contains("first by ana"), problem.detail());
    }

    @Test
    public void dryRunChangesNothing() {
      assertEquals(propose(VIEWER_TOKEN, "?dryRun=true", change("a", 0, PUT)).statusCode(), 200);
      Configuration now = read(get(VIEWER_TOKEN, OperatorPaths.CONFIGURATION), Configuration.class);
      assertEquals(now, Configuration.EMPTY);
    }

    @Test
    public void refusalListsEveryProblem() {
      ObjectId none = new ObjectId(ObjectKind.POOL, "none");
      HttpResponse<byte[]> response =
          propose(OPERATOR_TOKEN, "", change("a", 0, new Operation.Delete(none)));
      assertEquals(response.statusCode(), 422);
      assertEquals(
          read(response, ProblemDocument.class).problems().all().getFirst().path(), none.path());
    }

    @Test
    public void outageIsReportedWithRetryAfter() {
      service.failWith(new LarkkeelException(ErrorKind.STORE_UNAVAILABLE, "the log is down"));
      HttpResponse<byte[]> response = propose(OPERATOR_TOKEN, "", change("a", 0, PUT));
      assertEquals(response.statusCode(), 503);
      assertEquals(response.headers().firstValue("Retry-After"), Optional.of("1"));
      assertEquals(read(response, ProblemDocument.class).detail(), "the log is down");
    }

    @Test
    public void oversizedBodyIsRejected() {
      String body = "{\"reason\": \"" + "x".repeat(1 << 20) + "\"}";
      assertEquals(post(OPERATOR_TOKEN, OperatorPaths.CHANGES, body).statusCode(), 413);
    }
  }

  /** Records that a client reads back from their JSON bodies. */
  public static class Reads extends Fixture {
    @Test
    public void recordsReadBackEqual() {
      assertEquals(
          read(get(VIEWER_TOKEN, OperatorPaths.STATUS), NodeStatus.class),
          FakeOperatorService.STATUS);
      String explain = OperatorPaths.EXPLANATION + "?workspace=w&model=m";
      assertEquals(
          read(get(VIEWER_TOKEN, explain), RouteExplanation.class),
          FakeOperatorService.EXPLANATION);
      RolloutStatus rollout =
          read(get(VIEWER_TOKEN, OperatorPaths.ROLLOUT + "?revision=5"), RolloutStatus.class);
      assertEquals(rollout, service.rollout(new Revision(5)).join());
      assertFalse(rollout.isComplete());
    }
  }
}

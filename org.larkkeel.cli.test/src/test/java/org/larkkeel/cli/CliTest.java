/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import io.undertow.Undertow;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.larkkeel.cli.command.CommandCatalog;
import org.larkkeel.cli.command.Environment;
import org.larkkeel.cli.command.HelpPages;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.config.Upstream;
import org.larkkeel.http.operator.LimitStatus;
import org.larkkeel.http.operator.OperatorApi;
import org.larkkeel.http.operator.OperatorCodec;
import org.larkkeel.http.operator.OperatorRole;
import org.larkkeel.http.operator.OperatorTokens;
import org.larkkeel.http.operator.Principal;
import org.larkkeel.http.operator.QuarantineStatus;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Cli} against the operators' API over a socket. */
public class CliTest {
  private static final Path DOCS = Path.of("..", "docs");
  private static final String EXAMPLE = DOCS.resolve("examples/first.jsonc").toString();
  private static final String UNREACHABLE_SERVER = "127.0.0.1:1";

  private CliTest() {}

  /** Starts nodes over one in-memory log, runs command lines and captures their output. */
  public abstract static class Fixture {
    InMemoryOperatorService service;
    private final Map<String, String> variables = new HashMap<>();
    private final List<Undertow> servers = new ArrayList<>();
    private Path tokenFile;
    private String input = "";
    private ByteArrayOutputStream out;
    private ByteArrayOutputStream err;

    /** Starts a node. */
    @BeforeMethod
    public void start() throws IOException {
      service = new InMemoryOperatorService();
      tokenFile = Files.createTempFile("token", "");
      useToken("operator-secret");
      variables.put(Environment.TOKEN_FILE_VARIABLE, tokenFile.toString());
      variables.put(Environment.SERVER_VARIABLE, startServer());
    }

    /** Stops the nodes. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
      servers.forEach(Undertow::stop);
      servers.clear();
      Files.deleteIfExists(tokenFile);
    }

    void useToken(String token) throws IOException {
      Files.writeString(tokenFile, token + "\n");
    }

    void useServers(String text) {
      variables.put(Environment.SERVER_VARIABLE, text);
    }

    String server() {
      return variables.get(Environment.SERVER_VARIABLE);
    }

    String startServer() {
      return "127.0.0.1:" + listen(Undertow.builder().addHttpListener(0, "127.0.0.1"));
    }

    String startTlsServer() throws IOException, GeneralSecurityException {
      char[] password = "test-only".toCharArray();
      KeyStore store = KeyStore.getInstance("PKCS12");
      try (InputStream in = CliTest.class.getResourceAsStream("node.p12")) {
        store.load(in, password);
      }
      KeyManagerFactory keys =
          KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
      keys.init(store, password);
      SSLContext tls = SSLContext.getInstance("TLS");
      tls.init(keys.getKeyManagers(), null, null);
      return "https://127.0.0.1:"
          + listen(Undertow.builder().addHttpsListener(0, "127.0.0.1", tls));
    }

    private int listen(Undertow.Builder builder) {
      OperatorTokens tokens =
          new OperatorTokens(
              ImmutableMap.of(
                  OperatorTokens.sha256("operator-secret"),
                  new Principal("ana", OperatorRole.OPERATOR),
                  OperatorTokens.sha256("viewer-secret"),
                  new Principal("vera", OperatorRole.VIEWER)));
      InstantSource clock = InstantSource.fixed(Instant.ofEpochMilli(0));
      Undertow server =
          builder
              .setIoThreads(1)
              .setWorkerThreads(1)
              .setHandler(new OperatorApi(service, tokens, clock))
              .build();
      server.start();
      servers.add(server);
      return ((InetSocketAddress) server.getListenerInfo().getFirst().getAddress()).getPort();
    }

    ExitCode runWithInput(String text, String... arguments) {
      input = text;
      return run(arguments);
    }

    ExitCode run(String... arguments) {
      out = new ByteArrayOutputStream();
      err = new ByteArrayOutputStream();
      Environment environment =
          new Environment(
              new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
              new PrintStream(out, true, StandardCharsets.UTF_8),
              new PrintStream(err, true, StandardCharsets.UTF_8),
              variables::get);
      return new Cli(environment).run(List.of(arguments));
    }

    String out() {
      return out.toString(StandardCharsets.UTF_8);
    }

    String err() {
      return err.toString(StandardCharsets.UTF_8);
    }

    long leavingUpstreamCount() {
      return service.current().upstreams().values().stream().filter(Upstream::isLeaving).count();
    }
  }

  /** Starts a relay node that answers each request with a fixed status. */
  private abstract static class RelayFixture extends Fixture {
    private final Object status;
    private Undertow relay;
    String lastRequest;

    RelayFixture(Object status) {
      this.status = status;
    }

    /** Starts the relay node. */
    @BeforeMethod
    public void startRelay() {
      lastRequest = null;
      relay =
          Undertow.builder()
              .addHttpListener(0, "127.0.0.1")
              .setIoThreads(1)
              .setWorkerThreads(1)
              .setHandler(
                  exchange -> {
                    lastRequest = exchange.getRequestMethod() + " " + exchange.getRequestPath();
                    exchange.getResponseSender().send(ByteBuffer.wrap(OperatorCodec.write(status)));
                  })
              .build();
      relay.start();
      useServers(
          "127.0.0.1:"
              + ((InetSocketAddress) relay.getListenerInfo().getFirst().getAddress()).getPort());
    }

    /** Stops the relay node. */
    @AfterMethod(alwaysRun = true)
    public void stopRelay() {
      relay.stop();
    }
  }

  /** Rate limits that upstreams announced. */
  public static class Limits extends RelayFixture {
    /** Uses a node that knows one limit. */
    public Limits() {
      super(new LimitStatus(List.of(new LimitStatus.Entry("i-1", 5, 5.2, 300, 17))));
    }

    @Test
    public void listsLimits() {
      assertEquals(run("limits"), ExitCode.OK, err());
      assertEquals(lastRequest, "GET /upstream-limits");
      assertTrue(out().contains("5.2"), out());
      assertTrue(out().contains("300 ms ago"), out());
    }
  }

  /** Requests in quarantine. */
  public static class Quarantine extends RelayFixture {
    private static final String REQUEST = "0123456789abcdef0123456789abcdef";

    /** Uses a node that knows one request. */
    public Quarantine() {
      super(
          new QuarantineStatus(
              List.of(
                  new QuarantineStatus.Entry(
                      REQUEST, "prompt_part", 90_500, 1_200, List.of("i-1@5", "i-2@6")))));
    }

    @Test
    public void listsRequests() {
      assertEquals(run("quarantine"), ExitCode.OK, err());
      assertEquals(lastRequest, "GET /quarantine");
      assertTrue(out().contains(REQUEST), out());
      assertTrue(out().contains("prompt_part"), out());
      assertTrue(out().contains("i-1@5, i-2@6"), out());
    }

    @Test
    public void releasesRequest() {
      assertEquals(run("quarantine", "--release", REQUEST), ExitCode.OK, err());
      assertEquals(lastRequest, "DELETE /quarantine/" + REQUEST);
    }

    @Test
    public void rejectsMalformedFingerprint() {
      assertEquals(run("quarantine", "--release", "abc"), ExitCode.USAGE);
      assertTrue(err().contains("\"abc\""), err());
      assertEquals(lastRequest, null);
    }
  }

  /** Commands that change the configuration. */
  public static class Changing extends Fixture {
    @Test
    public void applyIsIdempotent() {
      assertEquals(run("apply", "-f", EXAMPLE, "--reason", "first"), ExitCode.OK, err());
      assertTrue(out().contains("added upstream/telar-1"), out());
      assertTrue(out().endsWith("accepted as revision 1\n"), out());
      assertEquals(run("apply", "-f", EXAMPLE), ExitCode.OK);
      assertEquals(out(), "unchanged at revision 1\n");
      assertEquals(run("diff", "-f", EXAMPLE), ExitCode.OK);
      assertEquals(service.log().getFirst().change().author(), "ana");
    }

    @Test
    public void localProblemsAreReportedWithPositionBeforeAnythingIsSent() {
      useServers(UNREACHABLE_SERVER);
      ExitCode code = runWithInput("{\n \"pool\": {}}", "apply", "-f", "-");
      assertEquals(code, ExitCode.INVALID);
      assertEquals(err(), "stdin:2:2: error: /pool: the key is unknown; did you mean \"pools\"?\n");
    }

    @Test
    public void serverProblemsAreReportedWithPosition() {
      run("apply", "-f", EXAMPLE);
      String text = "{\"upstreams\":\n{\"zz\": {\"address\": \"127.0.0.1:18001\"}}}";
      assertEquals(runWithInput(text, "apply", "-f", "-"), ExitCode.INVALID);
      assertTrue(err().startsWith("stdin:2:20: error: /upstreams/zz/address"), err());
    }

    @Test
    public void dryRunChangesNothing() {
      assertEquals(run("apply", "-f", EXAMPLE, "--dry-run"), ExitCode.OK);
      assertTrue(service.log().isEmpty());
    }

    @Test
    public void pruneDeletesObjectsMissingFromDocument() {
      run("apply", "-f", EXAMPLE);
      String text = "{\"workspaces\": {\"buyers\": {}}}";
      assertEquals(runWithInput(text, "diff", "--prune", "-f", "-"), ExitCode.DIFFERENT);
      assertEquals(runWithInput(text, "apply", "--prune", "-f", "-"), ExitCode.OK, err());
      assertTrue(service.current().upstreams().isEmpty());
      assertEquals(service.current().workspaces().size(), 1);
    }

    @Test
    public void documentOfOldRevisionConflictsAndNamesOtherChange() {
      run("apply", "-f", EXAMPLE);
      String read = ConfigurationDocument.write(service.current());
      run("label", "upstream", "telar-1", "gen=new");
      String edited = read.replace("\"slots\" : 4", "\"slots\" : 5");
      assertFalse(edited.equals(read));
      assertEquals(runWithInput(edited, "apply", "-f", "-"), ExitCode.CONFLICT);
      assertTrue(err().contains(service.log().getLast().change().id().value()), err());
      assertEquals(service.log().size(), 2);
    }

    @Test
    public void labelWithSelectorIsOneChange() {
      run("apply", "-f", EXAMPLE);
      assertEquals(
          run("label", "upstreams", "-l", "gen in (old, new)", "tier=batch", "dc-"), ExitCode.OK);
      assertEquals(service.log().size(), 2);
      assertEquals(service.log().getLast().change().operations().size(), 3);
      assertEquals(run("get", "upstreams", "-l", "tier=batch, !dc", "-o", "json"), ExitCode.OK);
      assertEquals(ConfigurationDocument.parse("out", out()).configuration().upstreams().size(), 3);
    }

    @Test
    public void drainMarksUpstreamsLeavingAndUndoReverts() {
      run("apply", "-f", EXAMPLE);
      assertEquals(run("drain", "-l", "dc=manizales"), ExitCode.OK);
      assertEquals(leavingUpstreamCount(), 2);
      assertEquals(run("drain", "--undo", "-l", "dc=manizales"), ExitCode.OK);
      assertEquals(leavingUpstreamCount(), 0);
    }

    @Test
    public void deleteRemovesOneObject() {
      run("apply", "-f", EXAMPLE);
      assertEquals(run("delete", "rule", "telarr"), ExitCode.NOT_FOUND);
      assertTrue(err().contains("did you mean \"telar\"?"), err());
      assertEquals(run("delete", "rule", "telar"), ExitCode.OK);
      assertEquals(service.current().rules().size(), 3);
    }
  }

  /** Connections to servers: unreachable servers, lost answers, TLS and tokens. */
  public static class Connecting extends Fixture {
    @Test
    public void nextServerIsTriedAfterUnreachableOne() {
      useServers(UNREACHABLE_SERVER + "," + server());
      assertEquals(run("status"), ExitCode.OK, err());
    }

    @Test
    public void changeRetriedAfterLostAnswerIsAcceptedOnce() {
      service.loseAnswers(1);
      useServers(server() + "," + startServer());
      assertEquals(run("apply", "-f", EXAMPLE), ExitCode.OK, err());
      assertTrue(out().endsWith("accepted as revision 1\n"), out());
      assertEquals(service.log().size(), 1);
    }

    @Test
    public void lostAnswerOfOnlyServerIsReportedAsUnreachable() {
      service.loseAnswers(1);
      assertEquals(run("apply", "-f", EXAMPLE), ExitCode.UNREACHABLE);
      assertTrue(err().contains("the answer of the log is lost"), err());
    }

    @Test
    public void httpsServerIsTrustedOnlyWithItsCaFile() throws Exception {
      useServers(startTlsServer());
      assertEquals(run("status"), ExitCode.UNREACHABLE);
      String file = Path.of(CliTest.class.getResource("node.pem").toURI()).toString();
      assertEquals(run("status", "--ca-file", file), ExitCode.OK, err());
    }

    @Test
    public void everyUnreachableServerIsNamed() {
      useServers("127.0.0.1:1,127.0.0.1:2");
      assertEquals(run("status"), ExitCode.UNREACHABLE);
      assertTrue(err().contains("127.0.0.1:1: ") && err().contains("127.0.0.1:2: "), err());
    }

    @Test
    public void tokenRoleLimitsCommands() throws IOException {
      useToken("viewer-secret");
      assertEquals(run("apply", "-f", EXAMPLE), ExitCode.DENIED);
      assertEquals(run("apply", "-f", EXAMPLE, "--dry-run"), ExitCode.OK, err());
      useToken("unknown-secret");
      assertEquals(run("status"), ExitCode.DENIED);
      assertFalse(err().contains("secret"), err());
    }

    @Test
    public void drainOfNodeRequiresExactlyOneServer() {
      String own = server();
      useServers(UNREACHABLE_SERVER + "," + own);
      assertEquals(run("drain", "--this-node"), ExitCode.USAGE);
      assertEquals(service.drains(), 0);
      assertEquals(run("drain", "--this-node", "--server", own), ExitCode.OK, err());
      assertEquals(service.drains(), 1);
    }
  }

  /** Commands that read. */
  public static class Reading extends Fixture {
    @Test
    public void rolloutWaitsUntilItIsComplete() {
      service.pendingRollouts(1);
      assertEquals(run("rollout", "status"), ExitCode.PENDING);
      assertTrue(out().contains("h2"), out());
      service.pendingRollouts(2);
      assertEquals(run("rollout", "status", "--wait"), ExitCode.OK);
      assertEquals(out(), "revision 0 is in force on 2 of 2 nodes\n");
    }

    @Test
    public void outputOfGetCanBeApplied() {
      run("apply", "-f", EXAMPLE);
      assertEquals(run("get", "all", "-o", "json"), ExitCode.OK);
      assertEquals(out(), ConfigurationDocument.write(service.current()));
    }

    @Test
    public void namesAreCompleted() {
      run("apply", "-f", EXAMPLE);
      assertEquals(run("complete", "pools", "telar-"), ExitCode.OK);
      assertEquals(out(), "telar-decode\ntelar-prefill\n");
    }

    /** Command lines and a text that their output contains. */
    @DataProvider
    public Object[][] readingCommandLines() {
      return new Object[][] {
        {"get pools", "telar-decode   decode   role=decode, gen in (new, old)  2"},
        {"get rules", "orders       10        path /orders"},
        {"get workspaces", "buyers     500"},
        {"describe pool mercado", "rules: lookups, orders"},
        {"describe workspace pricing -o json", "\"rules\" : [ \"lookups\", \"orders\", \"price"},
        {"audit", "1         1970-01-01T00:00:00Z  ana"},
        {"audit", "put upstream/telar-2 and 10 more"},
        {"audit --since 2 -o json", "\"entries\" : [ ]"},
        {"status", "telar-2   ejected  20     4     16           -                 31.3"},
        {"status -o json", "\"phase\" : \"ready\""},
        {"explain --model telar --workspace w", "telar-2   decode  full"},
        {"diff -o json --prune -f " + EXAMPLE, "\"objects\" : [ ]"},
      };
    }

    @Test(dataProvider = "readingCommandLines")
    public void outputContainsExpectedText(String line, String expected) {
      run("apply", "-f", EXAMPLE);
      assertEquals(run(line.split(" ")), ExitCode.OK, err());
      assertTrue(out().contains(expected), out());
    }
  }

  /** Usage and help. */
  public static class Usage extends Fixture {
    /** Invalid command lines and a text that the message contains. */
    @DataProvider
    public Object[][] invalidCommandLines() {
      return new Object[][] {
        {"aply", "did you mean \"apply\"?"},
        {"apply", "-f"},
        {"apply -f none.jsonc", "none.jsonc can not be read"},
        {"get nodes", "use one of upstreams, pools, rules, workspaces"},
        {"get pools -l a=", "at character 3 expected a label value"},
        {"label pools telar-decode", "key=value"},
        {"label pools a=b", "give either a name or -l"},
        {"label pools p a=b=c", "the label \"a=b=c\" is malformed"},
        {"explain --workspace w", "either --model or --path"},
        {"rollout undo", "use status"},
        {"drain", "give either -l"},
        {"status --timeout 0", "use 1 to 3600"},
        {"status --server nowhere", "write HOST:PORT"},
        {"status --token secret", "--token"},
      };
    }

    @Test(dataProvider = "invalidCommandLines")
    public void errorNamesMistake(String line, String expected) {
      assertEquals(run(line.split(" ")), ExitCode.USAGE);
      assertTrue(err().contains(expected), err());
    }

    @Test
    public void everyCommandHasHelp() {
      for (String name : CommandCatalog.names()) {
        assertEquals(run(name, "--help"), ExitCode.OK, err());
        assertTrue(out().startsWith("Usage: larkkeel " + name), out());
      }
    }

    @Test
    public void referencePageEqualsGeneratedHelp() throws IOException {
      assertEquals(Files.readString(DOCS.resolve("COMMANDS.md")), HelpPages.reference());
    }
  }
}

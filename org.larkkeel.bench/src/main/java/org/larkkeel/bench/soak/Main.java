/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.larkkeel.bench.demo.RemoteLoad;

/**
 * The load client of {@code ./soak}: sends the requests of one phase to nodes in other processes.
 *
 * <p>Prints one line of key=value pairs at the end. The exit status is 0 only if all checks hold.
 * Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Main {
  private static final int FAILED = 1;
  private static final int USAGE = 2;

  @Option(name = "--nodes", required = true, metaVar = "URL,URL", usage = "the nodes")
  private String nodes;

  @Option(name = "--service", required = true, metaVar = "URL", usage = "the service stand-in")
  private URI service;

  @Option(name = "--seconds", metaVar = "N", usage = "how long requests are sent")
  private int seconds = 20;

  @Option(name = "--rate", metaVar = "N", usage = "requests a second")
  private int rate = 60;

  @Option(name = "--seed", metaVar = "N", usage = "chooses the requests; another one each phase")
  private long seed = 1;

  @Option(name = "--uncut", usage = "demand that no connection fails and no doubt is told")
  private boolean uncut;

  @Option(name = "--unaffected", usage = "demand that no repeatable request is refused")
  private boolean unaffected;

  private Main() {}

  /**
   * Sends the requests and ends the process.
   *
   * @param args the command-line options
   * @throws Exception if the service's ledger can not be read
   */
  public static void main(String[] args) throws Exception {
    Main main = new Main();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(USAGE);
    }
    System.exit(main.run() ? 0 : FAILED);
  }

  private boolean run() throws IOException, InterruptedException {
    ImmutableList<URI> addresses =
        Splitter.on(',')
            .splitToStream(nodes)
            .map(URI::create)
            .collect(ImmutableList.toImmutableList());
    RemoteLoad.Result result;
    try (ReadyNodes ready = new ReadyNodes(addresses)) {
      result = new RemoteLoad(addresses, ready::first, System.out).run(seed, rate, seconds);
    }
    JsonNode runs = ledger().path("byReference");
    PhaseVerdict verdict = PhaseVerdict.of(result, ledger().path("byReference"));
    boolean passed = verdict.passed(uncut, unaffected);
    System.out.println(
        "load seed=" + seed + " " + verdict.line() + " result=" + (passed ? "passed" : "failed"));
    return passed;
  }

  private JsonNode ledger() throws IOException, InterruptedException {
    try (HttpClient client = HttpClient.newHttpClient()) {
      HttpRequest request = HttpRequest.newBuilder(service.resolve("/control/ledger")).build();
      return new ObjectMapper().readTree(client.send(request, BodyHandlers.ofString()).body());
    }
  }
}

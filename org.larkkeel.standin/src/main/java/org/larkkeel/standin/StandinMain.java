/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one stand-in as a process: {@code StandinMain platform|engine|service --port n}.
 *
 * <p>Used by one thread.
 *
 * @since 0.1
 */
public final class StandinMain {
  private static final Logger log = LoggerFactory.getLogger(StandinMain.class);
  private static final int USAGE_EXIT_CODE = 2;

  private enum Kind {
    PLATFORM,
    ENGINE,
    SERVICE
  }

  private enum Generation {
    OLD,
    NEW;

    EngineSpeeds speeds() {
      return switch (this) {
        case OLD -> EngineSpeeds.OLD;
        case NEW -> EngineSpeeds.NEW;
      };
    }
  }

  @Argument(required = true, metaVar = "KIND", usage = "platform, engine or service")
  private Kind kind;

  @Option(name = "--address", metaVar = "IP", usage = "the IP number to listen on")
  private String address = "127.0.0.1";

  @Option(name = "--port", metaVar = "PORT", usage = "the port to listen on; 0 takes a free one")
  private int port;

  @Option(name = "--name", metaVar = "NAME", usage = "an engine's name")
  private String name = "engine";

  @Option(name = "--role", metaVar = "ROLE", usage = "an engine's role")
  private EngineRole role = EngineRole.DECODE;

  @Option(name = "--generation", metaVar = "GEN", usage = "an engine's hardware")
  private Generation generation = Generation.NEW;

  @Option(name = "--models", metaVar = "A,B", usage = "the models that an engine has loaded")
  private String models = "";

  @Option(
      name = "--fencing",
      metaVar = "HABIT",
      usage = "what an engine does with old fencing numbers")
  private FencingMode fencing = FencingMode.CHECK;

  @Option(name = "--slots", metaVar = "N", usage = "a decode engine's slots")
  private int slots = EngineMemory.DEFAULTS.slots();

  @Option(name = "--host-lag-millis", metaVar = "N", usage = "how late a platform shows hosts")
  private long hostLagMillis = PlatformSettings.DEFAULTS.hostLagMillis();

  private StandinMain() {}

  /**
   * Starts the stand-in and runs until the process is stopped.
   *
   * @param args the command line arguments
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    StandinMain main = new StandinMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      printUsage(parser, e, System.err);
      System.exit(USAGE_EXIT_CODE);
    }
    InetSocketAddress bound = main.start();
    log.info(
        "event=standin-started kind={} address={}:{}",
        main.kind,
        bound.getHostString(),
        bound.getPort());
    new CountDownLatch(1).await();
  }

  private InetSocketAddress start() {
    InetSocketAddress bind = new InetSocketAddress(address, port);
    return switch (kind) {
      case PLATFORM -> platform(bind);
      case ENGINE -> EngineStandin.start(engine(bind)).address();
      case SERVICE -> ServiceStandin.start(ServiceSettings.DEFAULTS.withBind(bind)).address();
    };
  }

  private InetSocketAddress platform(InetSocketAddress bind) {
    return PlatformStandin.start(
            PlatformSettings.DEFAULTS.withBind(bind).withHostLagMillis(hostLagMillis))
        .address();
  }

  private EngineSettings engine(InetSocketAddress bind) {
    List<String> loaded = Arrays.stream(models.split(",", -1)).filter(m -> !m.isEmpty()).toList();
    return EngineSettings.of(name, role, loaded.toArray(String[]::new))
        .withBind(bind)
        .withSpeeds(generation.speeds())
        .withFencing(fencing)
        .withMemory(EngineMemory.DEFAULTS.withSlots(slots));
  }

  private static void printUsage(CmdLineParser parser, CmdLineException error, PrintStream out) {
    out.println(error.getMessage());
    out.println("usage: StandinMain KIND [options]");
    parser.printUsage(out);
  }
}

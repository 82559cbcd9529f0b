/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.client.ClientSettings;
import org.larkkeel.cli.client.Server;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;

/** The options of the connection to a server. Not safe for use by several threads. */
final class ConnectionOptions {
  private static final int DEFAULT_TIMEOUT_SECONDS = 10;
  private static final int MAX_TIMEOUT_SECONDS = 3600;
  private static final Splitter COMMA_SPLITTER = Splitter.on(',').trimResults().omitEmptyStrings();

  @Option(
      name = "--server",
      metaVar = "HOST:PORT",
      usage =
          "a node's operator address; repeat it to have the next tried where one does not answer;"
              + " https://HOST:PORT encrypts (else LARKKEEL_SERVER, separated by commas)")
  private List<String> servers = new ArrayList<>();

  @Option(
      name = "--token-file",
      metaVar = "FILE",
      usage = "the file that holds the bearer token (else LARKKEEL_TOKEN_FILE)")
  private String tokenFile;

  @Option(
      name = "--ca-file",
      metaVar = "FILE",
      usage =
          "certificates in PEM of the authorities trusted with https (else LARKKEEL_CA_FILE, else"
              + " those of the JDK)")
  private String caFile;

  @Option(
      name = "--timeout",
      metaVar = "SECONDS",
      usage = "how long to wait for each server, and for a rollout in all; 10 by default")
  private int timeoutSeconds = DEFAULT_TIMEOUT_SECONDS;

  Duration timeout() {
    if (timeoutSeconds < 1 || timeoutSeconds > MAX_TIMEOUT_SECONDS) {
      throw new CommandFailure(ExitCode.USAGE, Messages.BAD_TIMEOUT.formatted(timeoutSeconds));
    }
    return Duration.ofSeconds(timeoutSeconds);
  }

  ImmutableList<Server> servers(Environment environment) {
    List<String> serverTexts =
        servers.isEmpty()
            ? environment.variable(Environment.SERVER_VARIABLE).stream().toList()
            : servers;
    ImmutableList<Server> parsed =
        serverTexts.stream()
            .flatMap(COMMA_SPLITTER::splitToStream)
            .map(Server::parse)
            .collect(ImmutableList.toImmutableList());
    if (parsed.isEmpty()) {
      throw new CommandFailure(ExitCode.USAGE, Messages.NO_SERVER);
    }
    return parsed;
  }

  ClientSettings settings(Environment environment) {
    return new ClientSettings(
        servers(environment), token(environment), timeout(), sslContext(environment));
  }

  private Optional<String> token(Environment environment) {
    return Optional.ofNullable(tokenFile)
        .or(() -> environment.variable(Environment.TOKEN_FILE_VARIABLE))
        .map(ConnectionOptions::readToken);
  }

  private static String readToken(String file) {
    try {
      String token = Files.readString(Path.of(file)).strip();
      if (token.isEmpty()) {
        throw new CommandFailure(ExitCode.USAGE, Messages.EMPTY_TOKEN.formatted(file));
      }
      return token;
    } catch (IOException e) {
      throw unreadableFile(file, e);
    }
  }

  private SSLContext sslContext(Environment environment) {
    Optional<String> file =
        Optional.ofNullable(caFile).or(() -> environment.variable(Environment.CA_FILE_VARIABLE));
    try {
      return file.isPresent() ? sslContextTrusting(file.get()) : SSLContext.getDefault();
    } catch (IOException | GeneralSecurityException e) {
      throw unreadableFile(file.orElse("the trust store of the JDK"), e);
    }
  }

  private static SSLContext sslContextTrusting(String file)
      throws IOException, GeneralSecurityException {
    KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
    store.load(null, null);
    try (InputStream in = Files.newInputStream(Path.of(file))) {
      int index = 0;
      for (Certificate certificate :
          CertificateFactory.getInstance("X.509").generateCertificates(in)) {
        store.setCertificateEntry("ca" + index, certificate);
        index++;
      }
    }
    TrustManagerFactory trustManagers =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trustManagers.init(store);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, trustManagers.getTrustManagers(), null);
    return context;
  }

  private static CommandFailure unreadableFile(String file, Exception e) {
    return new CommandFailure(ExitCode.USAGE, Messages.UNREADABLE.formatted(file, e.getMessage()));
  }
}

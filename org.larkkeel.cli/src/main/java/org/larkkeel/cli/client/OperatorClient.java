/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.client;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.config.Change;
import org.larkkeel.config.ChangeCodec;
import org.larkkeel.config.Configuration;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.operator.AuditPage;
import org.larkkeel.http.operator.DryRun;
import org.larkkeel.http.operator.ExplainRequest;
import org.larkkeel.http.operator.LimitStatus;
import org.larkkeel.http.operator.NodeStatus;
import org.larkkeel.http.operator.OperatorCodec;
import org.larkkeel.http.operator.OperatorPaths;
import org.larkkeel.http.operator.ProblemDocument;
import org.larkkeel.http.operator.ProposalOutcome;
import org.larkkeel.http.operator.QuarantineStatus;
import org.larkkeel.http.operator.RolloutStatus;
import org.larkkeel.http.operator.RouteExplanation;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.Revision;

/**
 * Calls the operators' API, trying the servers in turn until one is available.
 *
 * <p>Sending a change twice is safe, since the log recognises it by its id. Every failure is thrown
 * as a {@link CommandFailure}. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class OperatorClient implements AutoCloseable {
  private static final int HTTP_OK = 200;

  private final ClientSettings settings;
  private final HttpTransport transport;

  /**
   * Creates a client, which connects only when it is called.
   *
   * @param settings the servers, token, timeout and TLS context
   */
  public OperatorClient(ClientSettings settings) {
    this.settings = settings;
    try {
      transport = new HttpTransport(settings.tls());
    } catch (IOException e) {
      throw new CommandFailure(ExitCode.FAILURE, e.getMessage());
    }
  }

  /**
   * Reads the configuration.
   *
   * @return the newest configuration known to the server
   */
  public Configuration configuration() {
    return call(HttpRequest.get(OperatorPaths.CONFIGURATION), Configuration.class);
  }

  /**
   * Proposes a change.
   *
   * @param change the change; author and time are set by the server
   * @param dryRun whether the change is only checked
   * @return the outcome
   */
  public ProposalOutcome propose(Change change, DryRun dryRun) {
    Query query = new Query().add(OperatorPaths.DRY_RUN, dryRun == DryRun.YES);
    HttpRequest request =
        HttpRequest.post(
            query.appendTo(OperatorPaths.CHANGES), ChangeCodec.toJson(change).toString());
    Reply reply = send(request);
    if (reply.response().status() == HTTP_OK) {
      return read(reply, ProposalOutcome.Accepted.class);
    }
    ProblemDocument problem = read(reply, ProblemDocument.class);
    if (problem.status() == ErrorKind.CONFLICT.status() && !problem.conflicts().isEmpty()) {
      AuditPage.Entry other = problem.conflicts().getFirst();
      return new ProposalOutcome.Conflicting(other.change(), other.revision());
    }
    if (problem.problems().hasErrors()) {
      return new ProposalOutcome.Refused(problem.problems());
    }
    throw toCommandFailure(problem);
  }

  /**
   * Reads accepted changes.
   *
   * @param from the first revision to return
   * @param limit the maximum number of entries
   * @return entries by ascending revision
   */
  public AuditPage audit(Revision from, int limit) {
    Query query = new Query().add(OperatorPaths.FROM, from.value()).add(OperatorPaths.LIMIT, limit);
    return call(HttpRequest.get(query.appendTo(OperatorPaths.CHANGES)), AuditPage.class);
  }

  /**
   * Explains how a request would be routed.
   *
   * @param request the description of the request
   * @return the explanation
   */
  public RouteExplanation explain(ExplainRequest request) {
    Query query = new Query().add(OperatorPaths.WORKSPACE, request.workspace());
    request.model().ifPresent(model -> query.add(OperatorPaths.MODEL, model));
    request.path().ifPresent(path -> query.add(OperatorPaths.PATH, path));
    query.add(OperatorPaths.PROMPT_TOKENS, request.promptTokens());
    return call(HttpRequest.get(query.appendTo(OperatorPaths.EXPLANATION)), RouteExplanation.class);
  }

  /**
   * Reads the state of the node.
   *
   * @return the status
   */
  public NodeStatus status() {
    return call(HttpRequest.get(OperatorPaths.STATUS), NodeStatus.class);
  }

  /**
   * Reads on which nodes a revision is in force.
   *
   * @param revision the revision; {@link Revision#NONE} for the newest
   * @return the rollout
   */
  public RolloutStatus rollout(Revision revision) {
    Query query = new Query().add(OperatorPaths.REVISION, revision.value());
    return call(HttpRequest.get(query.appendTo(OperatorPaths.ROLLOUT)), RolloutStatus.class);
  }

  /**
   * Starts the graceful shutdown of the node that answers. To be used with a single server only,
   * since any of several may answer.
   *
   * @return the status of the node
   */
  public NodeStatus drain() {
    return call(HttpRequest.post(OperatorPaths.DRAIN, "{}"), NodeStatus.class);
  }

  /**
   * Reads the requests that upstreams had in progress when they crashed, from the metrics address
   * of a relay node.
   *
   * @return the requests known to that node
   */
  public QuarantineStatus quarantine() {
    return call(HttpRequest.get(OperatorPaths.QUARANTINE), QuarantineStatus.class);
  }

  /**
   * Reads the rate limits that upstreams announced, from the metrics address of a relay node.
   *
   * @return the limits known to that node
   */
  public LimitStatus limits() {
    return call(HttpRequest.get(OperatorPaths.UPSTREAM_LIMITS), LimitStatus.class);
  }

  /**
   * Releases a request from quarantine on all nodes.
   *
   * @param request the fingerprint of the request
   * @return the requests known to the answering node after the release
   */
  public QuarantineStatus release(Fingerprint request) {
    return call(
        HttpRequest.delete(OperatorPaths.QUARANTINE + "/" + request), QuarantineStatus.class);
  }

  private <T> T call(HttpRequest request, Class<T> type) {
    Reply reply = send(request);
    if (reply.response().status() == HTTP_OK) {
      return read(reply, type);
    }
    throw toCommandFailure(read(reply, ProblemDocument.class));
  }

  /** A response and the server that sent it. */
  private record Reply(Server server, HttpResponse response) {}

  private Reply send(HttpRequest request) {
    List<String> reasons = new ArrayList<>();
    for (Server server : settings.servers()) {
      try {
        HttpResponse response =
            transport.send(server, request, settings.token(), settings.timeout());
        Reply reply = new Reply(server, response);
        if (!isUnavailable(response)) {
          return reply;
        }
        reasons.add(server + ": " + unavailabilityReason(reply));
      } catch (IOException e) {
        reasons.add(server + ": " + e.getMessage());
      }
    }
    throw new CommandFailure(
        ExitCode.UNREACHABLE, Messages.UNREACHABLE.formatted(Joiner.on("; ").join(reasons)));
  }

  private static boolean isUnavailable(HttpResponse response) {
    return response.status() == ErrorKind.STORE_UNAVAILABLE.status()
        || response.status() == ErrorKind.DEADLINE_EXCEEDED.status();
  }

  /**
   * Returns why a server is unavailable: the detail of its answer, or only the status if a proxy in
   * between answered in another form.
   */
  private static String unavailabilityReason(Reply reply) {
    try {
      return read(reply, ProblemDocument.class).detail();
    } catch (CommandFailure e) {
      return "status " + reply.response().status();
    }
  }

  private static <T> T read(Reply reply, Class<T> type) {
    try {
      return OperatorCodec.read(reply.response().body().getBytes(StandardCharsets.UTF_8), type);
    } catch (IOException | LarkkeelException e) {
      throw new CommandFailure(
          ExitCode.FAILURE, Messages.BAD_RESPONSE.formatted(reply.server(), e.getMessage()));
    }
  }

  private static CommandFailure toCommandFailure(ProblemDocument problem) {
    ExitCode code =
        switch (problem.status()) {
          case 401, 403 -> ExitCode.DENIED;
          case 404 -> ExitCode.NOT_FOUND;
          case 409 -> ExitCode.CONFLICT;
          case 413, 422 -> ExitCode.INVALID;
          default -> ExitCode.FAILURE;
        };
    return new CommandFailure(
        code, Messages.SERVER_FAILURE.formatted(problem.detail(), problem.remedy()));
  }

  @Override
  public void close() {
    transport.close();
  }

  /** Builds the query part of a request target. Not safe for use by several threads. */
  private static final class Query {
    private final ImmutableList.Builder<String> parts = ImmutableList.builder();

    Query add(String key, Object value) {
      parts.add(key + "=" + URLEncoder.encode(value.toString(), StandardCharsets.UTF_8));
      return this;
    }

    String appendTo(String path) {
      return path + "?" + Joiner.on('&').join(parts.build());
    }
  }
}

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
 * Calls the operators' API, at the next server where one does not answer.
 *
 * <p>A change may be sent twice, since the log knows it by its id. Every failure is a {@link
 * CommandFailure}. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class OperatorClient implements AutoCloseable {
  private static final int OK = 200;

  private final ClientSettings settings;
  private final HttpTransport transport;

  /**
   * Creates a client; it connects with the first call.
   *
   * @param settings where to
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
   * @return the newest that the server knows
   */
  public Configuration configuration() {
    return call(HttpCall.get(OperatorPaths.CONFIGURATION), Configuration.class);
  }

  /**
   * Proposes a change.
   *
   * @param change the change; author and time are set by the server
   * @param dryRun whether it is only checked
   * @return the outcome
   */
  public ProposalOutcome propose(Change change, DryRun dryRun) {
    Query query = new Query().add(OperatorPaths.DRY_RUN, dryRun == DryRun.YES);
    HttpCall call =
        HttpCall.post(query.on(OperatorPaths.CHANGES), ChangeCodec.toJson(change).toString());
    Reply reply = send(call);
    if (reply.answer().status() == OK) {
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
    throw failure(problem);
  }

  /**
   * Reads accepted changes.
   *
   * @param from the first revision wanted
   * @param limit the most entries
   * @return entries by ascending revision
   */
  public AuditPage audit(Revision from, int limit) {
    Query query = new Query().add(OperatorPaths.FROM, from.value()).add(OperatorPaths.LIMIT, limit);
    return call(HttpCall.get(query.on(OperatorPaths.CHANGES)), AuditPage.class);
  }

  /**
   * Asks why a request would go where.
   *
   * @param request describes the request
   * @return the explanation
   */
  public RouteExplanation explain(ExplainRequest request) {
    Query query = new Query().add(OperatorPaths.WORKSPACE, request.workspace());
    request.model().ifPresent(model -> query.add(OperatorPaths.MODEL, model));
    request.path().ifPresent(path -> query.add(OperatorPaths.PATH, path));
    query.add(OperatorPaths.PROMPT_TOKENS, request.promptTokens());
    return call(HttpCall.get(query.on(OperatorPaths.EXPLANATION)), RouteExplanation.class);
  }

  /**
   * Reads the state of the node.
   *
   * @return the status
   */
  public NodeStatus status() {
    return call(HttpCall.get(OperatorPaths.STATUS), NodeStatus.class);
  }

  /**
   * Asks where a revision is in force.
   *
   * @param revision the revision, {@link Revision#NONE} for the newest
   * @return the rollout
   */
  public RolloutStatus rollout(Revision revision) {
    Query query = new Query().add(OperatorPaths.REVISION, revision.value());
    return call(HttpCall.get(query.on(OperatorPaths.ROLLOUT)), RolloutStatus.class);
  }

  /**
   * Begins the graceful shutdown of the node that answers; to be used with one server only.
   *
   * @return its status
   */
  public NodeStatus drain() {
    return call(HttpCall.post(OperatorPaths.DRAIN, "{}"), NodeStatus.class);
  }

  /**
   * Reads the requests under which upstreams ended, from the metrics address of a relay node.
   *
   * @return what that node knows
   */
  public QuarantineStatus quarantine() {
    return call(HttpCall.get(OperatorPaths.QUARANTINE), QuarantineStatus.class);
  }

  /**
   * Reads the limits that upstreams name, from the metrics address of a relay node.
   *
   * @return what that node knows
   */
  public LimitStatus limits() {
    return call(HttpCall.get(OperatorPaths.UPSTREAM_LIMITS), LimitStatus.class);
  }

  /**
   * Lets a request be sent again on all nodes.
   *
   * @param request its fingerprint
   * @return what the node that was asked knows since
   */
  public QuarantineStatus release(Fingerprint request) {
    return call(HttpCall.delete(OperatorPaths.QUARANTINE + "/" + request), QuarantineStatus.class);
  }

  private <T> T call(HttpCall call, Class<T> type) {
    Reply reply = send(call);
    if (reply.answer().status() == OK) {
      return read(reply, type);
    }
    throw failure(read(reply, ProblemDocument.class));
  }

  /** An answer and who gave it. */
  private record Reply(Server server, HttpAnswer answer) {}

  private Reply send(HttpCall call) {
    List<String> reasons = new ArrayList<>();
    for (Server server : settings.servers()) {
      try {
        HttpAnswer answer = transport.send(server, call, settings.token(), settings.timeout());
        Reply reply = new Reply(server, answer);
        if (!isUnavailable(answer)) {
          return reply;
        }
        reasons.add(server + ": " + reason(reply));
      } catch (IOException e) {
        reasons.add(server + ": " + e.getMessage());
      }
    }
    throw new CommandFailure(
        ExitCode.UNREACHABLE, Messages.UNREACHABLE.formatted(Joiner.on("; ").join(reasons)));
  }

  private static boolean isUnavailable(HttpAnswer answer) {
    return answer.status() == ErrorKind.STORE_UNAVAILABLE.status()
        || answer.status() == ErrorKind.DEADLINE_EXCEEDED.status();
  }

  /** What a server, or something between, says about not being available. */
  private static String reason(Reply reply) {
    try {
      return read(reply, ProblemDocument.class).detail();
    } catch (CommandFailure e) {
      return "status " + reply.answer().status();
    }
  }

  private static <T> T read(Reply reply, Class<T> type) {
    try {
      return OperatorCodec.read(reply.answer().body().getBytes(StandardCharsets.UTF_8), type);
    } catch (IOException | LarkkeelException e) {
      throw new CommandFailure(
          ExitCode.FAILURE, Messages.BAD_ANSWER.formatted(reply.server(), e.getMessage()));
    }
  }

  private static CommandFailure failure(ProblemDocument problem) {
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

  /** Builds a query. Not safe for use by several threads. */
  private static final class Query {
    private final ImmutableList.Builder<String> parts = ImmutableList.builder();

    Query add(String key, Object value) {
      parts.add(key + "=" + URLEncoder.encode(value.toString(), StandardCharsets.UTF_8));
      return this;
    }

    String on(String path) {
      return path + "?" + Joiner.on('&').join(parts.build());
    }
  }
}

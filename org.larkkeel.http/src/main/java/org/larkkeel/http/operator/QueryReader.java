/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import io.undertow.server.HttpServerExchange;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Function;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.WorkspaceName;

/**
 * Parses the query parameters of one request; an invalid value fails the request as malformed. Not
 * safe for use by several threads.
 */
final class QueryReader {
  private static final int MAX_AUDIT_LIMIT = 1000;
  private static final int DEFAULT_AUDIT_LIMIT = 100;

  private final HttpServerExchange exchange;

  QueryReader(HttpServerExchange exchange) {
    this.exchange = exchange;
  }

  DryRun dryRun() {
    String text = text(OperatorPaths.DRY_RUN).orElse("false");
    return switch (text) {
      case "true" -> DryRun.YES;
      case "false" -> DryRun.NO;
      default -> throw malformed(OperatorPaths.DRY_RUN, text, "use true or false");
    };
  }

  Revision revision(String key) {
    return new Revision(integer(key, 0, 0, Long.MAX_VALUE));
  }

  int auditLimit() {
    return (int) integer(OperatorPaths.LIMIT, DEFAULT_AUDIT_LIMIT, 1, MAX_AUDIT_LIMIT);
  }

  ExplainRequest explainRequest() {
    int tokens =
        (int)
            integer(
                OperatorPaths.PROMPT_TOKENS,
                ExplainRequest.DEFAULT_PROMPT_TOKENS,
                1,
                Integer.MAX_VALUE);
    Optional<ModelName> model = parsedValue(OperatorPaths.MODEL, ModelName::new);
    Optional<String> path = text(OperatorPaths.PATH);
    WorkspaceName workspace =
        parsedValue(OperatorPaths.WORKSPACE, WorkspaceName::new)
            .orElseThrow(() -> malformed(OperatorPaths.WORKSPACE, "", "name a workspace"));
    if (model.isPresent() == path.isPresent()) {
      throw malformed(OperatorPaths.MODEL, "", "give either model or path");
    }
    return new ExplainRequest(model, path, workspace, tokens);
  }

  private Optional<String> text(String key) {
    Deque<String> values = exchange.getQueryParameters().get(key);
    return Optional.ofNullable(values).map(Deque::peekFirst);
  }

  private <T> Optional<T> parsedValue(String key, Function<String, T> parser) {
    return text(key).map(text -> parse(key, text, parser));
  }

  private static <T> T parse(String key, String text, Function<String, T> parser) {
    try {
      return parser.apply(text);
    } catch (IllegalArgumentException e) {
      throw malformed(key, text, e.getMessage());
    }
  }

  private long integer(String key, long defaultValue, long min, long max) {
    long value = parsedValue(key, Long::parseLong).orElse(defaultValue);
    if (value < min || value > max) {
      throw malformed(key, Long.toString(value), "use " + min + " to " + max);
    }
    return value;
  }

  private static LarkkeelException malformed(String key, String value, String remedy) {
    return new LarkkeelException(
        ErrorKind.MALFORMED_REQUEST,
        "The query parameter " + key + " is \"" + value + "\": " + remedy + ".");
  }
}

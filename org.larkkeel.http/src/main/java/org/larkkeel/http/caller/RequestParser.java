/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.Arrays;
import org.larkkeel.call.Call;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.HeaderNames;
import org.larkkeel.http.HopHeaders;
import org.larkkeel.http.request.CallerChannel;
import org.larkkeel.http.request.PlainRecord;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;

/**
 * Parses requests that are plain calls to a service.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class RequestParser {
  static final String COMPLETIONS = "/v1/completions";
  static final String CHAT_COMPLETIONS = "/v1/chat/completions";

  private static final ImmutableSet<HttpString> IDEMPOTENT =
      ImmutableSet.of(Methods.GET, Methods.HEAD, Methods.OPTIONS, Methods.PUT, Methods.DELETE);
  private static final ImmutableSet<HttpString> REMOVED_HEADERS =
      ImmutableSet.of(
          Headers.AUTHORIZATION,
          HeaderNames.REQUEST_ID,
          HeaderNames.WORKSPACE,
          HeaderNames.DEADLINE_MILLIS);
  private static final ImmutableSet<String> DOT_SEGMENTS = ImmutableSet.of(".", "..");

  private RequestParser() {}

  /**
   * The ids and the workspace of a request.
   *
   * @param id the id within this node
   * @param wireId the id as the caller knows it
   * @param workspace the workspace of the caller
   */
  record Identity(RequestId id, String wireId, WorkspaceName workspace) {}

  static boolean isCompletion(String path) {
    return path.equals(COMPLETIONS) || path.equals(CHAT_COMPLETIONS);
  }

  static PlainRecord plain(
      HttpServerExchange exchange,
      Identity identity,
      ParsedHead head,
      byte[] body,
      CallerChannel channel) {
    String path = checkedPath(exchange.getRequestPath());
    HttpString method = exchange.getRequestMethod();
    Call.Plain call =
        new Call.Plain(
            identity.id(),
            identity.workspace(),
            head.runKey(),
            path,
            IDEMPOTENT.contains(method),
            head.deadlineMillis());
    UpstreamRequest request =
        new UpstreamRequest(method, head.target(), forwardedHeaders(exchange), body);
    return new PlainRecord(call, identity.wireId(), channel, request);
  }

  /** Rejects dot segments, which would bypass the rules, since these match prefixes of the path. */
  private static String checkedPath(String path) {
    if (Arrays.stream(path.split("/")).anyMatch(DOT_SEGMENTS::contains)) {
      throw new LarkkeelException(
          ErrorKind.MALFORMED_REQUEST, "The path has a dot segment: send it resolved.");
    }
    return path;
  }

  private static ImmutableListMultimap<HttpString, String> forwardedHeaders(
      HttpServerExchange exchange) {
    ImmutableListMultimap.Builder<HttpString, String> headers = ImmutableListMultimap.builder();
    for (HeaderValues values : exchange.getRequestHeaders()) {
      HttpString name = values.getHeaderName();
      if (!HopHeaders.isHop(name) && !REMOVED_HEADERS.contains(name)) {
        headers.putAll(name, values);
      }
    }
    return headers.build();
  }
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;
import org.xnio.IoUtils;

/**
 * One HTTP call to a stand-in.
 *
 * <p>Used by the one thread that handles the call.
 *
 * @since 0.1
 */
public final class Call {
  private final HttpServerExchange exchange;
  private final ObjectMapper mapper;

  Call(HttpServerExchange exchange, ObjectMapper mapper) {
    this.exchange = exchange;
    this.mapper = mapper;
  }

  /**
   * The method.
   *
   * @return the method's name, in capitals
   */
  public String method() {
    return exchange.getRequestMethod().toString();
  }

  /**
   * The path as sent, still encoded.
   *
   * @return the path without the query
   */
  public String path() {
    return exchange.getRequestURI();
  }

  /**
   * The path as sent with its query.
   *
   * @return the path, and the query after a question mark if there is one
   */
  public String pathAndQuery() {
    String query = exchange.getQueryString();
    return query.isEmpty() ? path() : path() + "?" + query;
  }

  /**
   * The decoded part of the path after a prefix.
   *
   * @param prefix the prefix, which the path begins with
   * @return the rest, decoded
   */
  public String pathAfter(String prefix) {
    String rest = path().substring(prefix.length());
    return URLDecoder.decode(rest.replace("+", "%2B"), StandardCharsets.UTF_8);
  }

  /**
   * A query parameter.
   *
   * @param name the name
   * @return its first value, if any
   */
  public Optional<String> query(String name) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return Optional.ofNullable(values).map(Deque::peekFirst).filter(v -> !v.isEmpty());
  }

  /**
   * A whole number among the query parameters.
   *
   * @param name the name
   * @param otherwise the value if there is none
   * @return the number
   * @throws RefusedException if the value is not a whole number
   */
  public long queryNumber(String name, long otherwise) {
    Optional<String> value = query(name);
    if (value.isEmpty()) {
      return otherwise;
    }
    try {
      return Long.parseLong(value.get());
    } catch (NumberFormatException e) {
      throw RefusedException.malformed(
          "query " + name + " is \"" + value.get() + "\": send a whole number");
    }
  }

  /**
   * A request header.
   *
   * @param name the name
   * @return its first value, if any
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
  }

  /**
   * Reads the body.
   *
   * @param limit the greatest size in bytes
   * @return the body
   * @throws IOException if the connection breaks
   * @throws RefusedException if the body is larger
   */
  public byte[] bytes(int limit) throws IOException {
    byte[] body = exchange.getInputStream().readNBytes(limit + 1);
    if (body.length > limit) {
      throw new RefusedException(
          413, "TooLarge", "the body is larger than " + limit + " bytes: send less");
    }
    return body;
  }

  /**
   * Reads the body as a message.
   *
   * @param type the type of the message
   * @param limit the greatest size in bytes
   * @param <T> the type of the message
   * @return the message
   * @throws IOException if the connection breaks
   * @throws RefusedException if the body is larger or is not such a message
   */
  public <T> T body(Class<T> type, int limit) throws IOException {
    byte[] bytes = bytes(limit);
    try {
      T message = mapper.readValue(bytes, type);
      if (message == null) {
        throw RefusedException.malformed("the body is null: send an object");
      }
      return message;
    } catch (JsonProcessingException e) {
      throw RefusedException.malformed("the body can not be read: " + e.getOriginalMessage());
    }
  }

  /**
   * Sets a header of the answer.
   *
   * @param name the name
   * @param value the value
   */
  public void answerHeader(String name, String value) {
    exchange.getResponseHeaders().put(new HttpString(name), value);
  }

  /**
   * Answers with a JSON document.
   *
   * @param status the HTTP status
   * @param message what Jackson writes as JSON, or a text that already is JSON
   * @throws IOException if the connection breaks
   */
  public void reply(int status, Object message) throws IOException {
    byte[] body =
        message instanceof String text
            ? text.getBytes(StandardCharsets.UTF_8)
            : mapper.writeValueAsBytes(message);
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.setResponseContentLength(body.length);
    exchange.getOutputStream().write(body);
    exchange.getOutputStream().close();
  }

  /**
   * Begins an answer that is sent in parts.
   *
   * @param contentType the media type
   * @return the stream, to be flushed after each part
   */
  public OutputStream stream(String contentType) {
    exchange.setStatusCode(200);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    return exchange.getOutputStream();
  }

  /**
   * Writes one message as JSON.
   *
   * @param message the message
   * @return the bytes
   * @throws IOException never in practice
   */
  public byte[] json(Object message) throws IOException {
    return mapper.writeValueAsBytes(message);
  }

  /** Closes the connection without an answer. */
  public void cut() {
    IoUtils.safeClose(exchange.getConnection());
  }
}

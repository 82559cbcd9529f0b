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
 * One HTTP call to a stand-in, with its answer.
 *
 * <p>Not safe for use by several threads; used only by the thread that handles the call.
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
   * Returns the HTTP method.
   *
   * @return the method's name, in upper case
   */
  public String method() {
    return exchange.getRequestMethod().toString();
  }

  /**
   * Returns the path as sent, without percent-decoding.
   *
   * @return the path without the query
   */
  public String path() {
    return exchange.getRequestURI();
  }

  /**
   * Returns the path with its query as sent, without percent-decoding.
   *
   * @return the path, followed by a question mark and the query if there is one
   */
  public String pathAndQuery() {
    String query = exchange.getQueryString();
    return query.isEmpty() ? path() : path() + "?" + query;
  }

  /**
   * Returns the part of the path after a prefix, percent-decoded.
   *
   * @param prefix the prefix; the path must start with it
   * @return the decoded rest of the path
   */
  public String pathAfter(String prefix) {
    String rest = path().substring(prefix.length());
    return URLDecoder.decode(rest.replace("+", "%2B"), StandardCharsets.UTF_8);
  }

  /**
   * Returns a query parameter.
   *
   * @param name the name of the parameter
   * @return its first value, or empty if it is missing or empty
   */
  public Optional<String> query(String name) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return Optional.ofNullable(values).map(Deque::peekFirst).filter(v -> !v.isEmpty());
  }

  /**
   * Returns a query parameter as an integer.
   *
   * @param name the name of the parameter
   * @param defaultValue the value if the parameter is missing or empty
   * @return the number
   * @throws RefusedException if the value is not an integer
   */
  public long queryNumber(String name, long defaultValue) {
    Optional<String> value = query(name);
    if (value.isEmpty()) {
      return defaultValue;
    }
    try {
      return Long.parseLong(value.get());
    } catch (NumberFormatException e) {
      throw RefusedException.malformed(
          "query " + name + " is \"" + value.get() + "\": send a whole number");
    }
  }

  /**
   * Returns a request header.
   *
   * @param name the name of the header
   * @return its first value, if any
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
  }

  /**
   * Reads the request body.
   *
   * @param limit the maximum size in bytes
   * @return the body
   * @throws IOException if the connection breaks
   * @throws RefusedException if the body is larger than the limit
   */
  public byte[] readBytes(int limit) throws IOException {
    byte[] body = exchange.getInputStream().readNBytes(limit + 1);
    if (body.length > limit) {
      throw new RefusedException(
          413, "TooLarge", "the body is larger than " + limit + " bytes: send less");
    }
    return body;
  }

  /**
   * Reads the request body as a JSON message.
   *
   * @param type the type of the message
   * @param limit the maximum size in bytes
   * @param <T> the type of the message
   * @return the message
   * @throws IOException if the connection breaks
   * @throws RefusedException if the body is larger than the limit or is not a message of the type
   */
  public <T> T readMessage(Class<T> type, int limit) throws IOException {
    byte[] bytes = readBytes(limit);
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
   * @param name the name of the header
   * @param value the value
   */
  public void setAnswerHeader(String name, String value) {
    exchange.getResponseHeaders().put(new HttpString(name), value);
  }

  /**
   * Sends a complete answer with a JSON body.
   *
   * @param status the HTTP status
   * @param message the object to serialize with Jackson, or a string that already is JSON
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
   * Starts a streamed answer with status 200.
   *
   * @param contentType the media type
   * @return the stream, to be flushed after each part
   */
  public OutputStream startStream(String contentType) {
    exchange.setStatusCode(200);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    return exchange.getOutputStream();
  }

  /**
   * Serializes a message as JSON.
   *
   * @param message the message
   * @return the JSON in UTF-8
   * @throws IOException if the message cannot be serialized
   */
  public byte[] toJson(Object message) throws IOException {
    return mapper.writeValueAsBytes(message);
  }

  /** Closes the connection abruptly; an answer that has not been sent completely is lost. */
  public void closeConnection() {
    IoUtils.safeClose(exchange.getConnection());
  }
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.errors;

/**
 * The closed list of error kinds and the answer to each.
 *
 * <p>This table is the only place that maps a kind to an HTTP status, to what the caller may
 * conclude about the execution, and to a remedy. Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public enum ErrorKind {
  /** The request can not be parsed. */
  MALFORMED_REQUEST(
      400,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "The request can not be read.",
      "Correct the named field."),
  /** The bearer token is missing or unknown. */
  UNAUTHENTICATED(
      401,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "The bearer token is missing or unknown.",
      "Send a valid bearer token."),
  /** The token does not allow this operation. */
  FORBIDDEN(
      403,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "The token does not allow this operation.",
      "Use a token with the needed role."),
  /** No routing rule matches the request. */
  NO_RULE(
      404,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "No routing rule matches the request.",
      "Check the model or path, or ask the operator for a rule."),
  /** There is no such resource. */
  NOT_FOUND(
      404,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "There is no such resource.",
      "Correct the path or the name."),
  /** The path does not support the method. */
  METHOD_NOT_ALLOWED(
      405,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "The path does not take this method.",
      "Use one of the methods in Allow."),
  /** The request was not received completely before the timeout. */
  REQUEST_TIMEOUT(
      408,
      Execution.NOT_RUN,
      Repeat.LATER,
      "The request was not complete in time.",
      "Send the whole request without a pause."),
  /** Another change was accepted first, so the change was rejected. */
  CONFLICT(
      409,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "Another change was accepted first.",
      "Read the named change, then apply again."),
  /** A request with the same key is still running. */
  IN_PROGRESS(
      409,
      Execution.MAY_HAVE_RUN,
      Repeat.LATER,
      "A request with the same key is still running.",
      "Repeat with the same key later."),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE(
      413,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "The body is larger than the limit.",
      "Send a smaller body."),
  /** The idempotency key was used with another body. */
  KEY_REUSED(
      422,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "The idempotency key was used with another body.",
      "Use a new key for a new request."),
  /** The configuration is not valid. */
  INVALID_CONFIGURATION(
      422,
      Execution.NOT_RUN,
      Repeat.NEVER,
      "The configuration is not valid.",
      "Correct every problem listed."),
  /** The workspace has reached its limit. */
  WORKSPACE_LIMIT(
      429,
      Execution.NOT_RUN,
      Repeat.LATER,
      "The workspace has reached its limit.",
      "Repeat after Retry-After."),
  /** The request can not meet its deadline at the present load. */
  OVERLOADED(
      503,
      Execution.NOT_RUN,
      Repeat.LATER,
      "The request can not meet its deadline at the present load.",
      "Repeat after Retry-After."),
  /** No live upstream is eligible for the request. */
  NO_UPSTREAM(
      503,
      Execution.NOT_RUN,
      Repeat.LATER,
      "No live upstream fits the request.",
      "Repeat after Retry-After; operators check labels and upstreams."),
  /** Upstreams crashed while they ran the request. */
  QUARANTINED(
      503,
      Execution.NOT_RUN,
      Repeat.LATER,
      "Upstreams have ended that ran the request, or others with a part of its prompt.",
      "Repeat after Retry-After; operators can release the request or part."),
  /** This node accepts no new requests. */
  NOT_READY(
      503,
      Execution.NOT_RUN,
      Repeat.LATER,
      "This node takes no new requests.",
      "Repeat at once; the balancer chooses another node."),
  /** The claim of an at-most-once run can not be stored now. */
  STORE_UNAVAILABLE(
      503,
      Execution.NOT_RUN,
      Repeat.LATER,
      "The run can not be recorded now.",
      "Repeat with the same key after Retry-After."),
  /** The upstream failed after the request was sent. */
  UPSTREAM_FAILED(
      502,
      Execution.MAY_HAVE_RUN,
      Repeat.IF_IDEMPOTENT,
      "The upstream failed after the request was sent.",
      "Repeat only what may run twice."),
  /** The outcome of an earlier run with this key is unknown. */
  UNKNOWN_OUTCOME(
      502,
      Execution.MAY_HAVE_RUN,
      Repeat.NEVER,
      "The outcome of an earlier run with this key is unknown.",
      "Find out at the service whether it ran; the key is never run again."),
  /** The deadline passed before the answer was complete. */
  DEADLINE_EXCEEDED(
      504,
      Execution.MAY_HAVE_RUN,
      Repeat.IF_IDEMPOTENT,
      "The deadline passed before the answer was complete.",
      "Repeat only what may run twice, with a later deadline."),
  /** The deadline passed while the request was queued. */
  EXPIRED_IN_QUEUE(
      504,
      Execution.NOT_RUN,
      Repeat.LATER,
      "The deadline passed while the request waited.",
      "Repeat after Retry-After."),
  /** The caller closed the connection. */
  CALLER_GONE(
      499,
      Execution.MAY_HAVE_RUN,
      Repeat.IF_IDEMPOTENT,
      "The caller closed the connection.",
      "None."),
  /** An unexpected failure. */
  INTERNAL(
      500,
      Execution.MAY_HAVE_RUN,
      Repeat.IF_IDEMPOTENT,
      "An unexpected failure.",
      "Report the request id.");

  private final int status;
  private final Execution execution;
  private final Repeat repeat;
  private final String title;
  private final String remedy;

  ErrorKind(int status, Execution execution, Repeat repeat, String title, String remedy) {
    this.status = status;
    this.execution = execution;
    this.repeat = repeat;
    this.title = title;
    this.remedy = remedy;
  }

  /**
   * Returns the HTTP status of the answer.
   *
   * @return a status code
   */
  public int status() {
    return status;
  }

  /**
   * Returns what the caller may conclude about the execution of its request.
   *
   * @return the execution state that is reported to the caller
   */
  public Execution execution() {
    return execution;
  }

  /**
   * Returns whether the caller may retry the request.
   *
   * @return the advice
   */
  public Repeat repeat() {
    return repeat;
  }

  /**
   * Returns one sentence that describes the kind.
   *
   * @return the title of the problem
   */
  public String title() {
    return title;
  }

  /**
   * Returns what the caller or operator can do.
   *
   * @return one or two sentences
   */
  public String remedy() {
    return remedy;
  }

  /**
   * Returns the name used in problem types, logs and metrics.
   *
   * @return the kind in lower case with hyphens, such as {@code no-rule}
   */
  public String slug() {
    return Slugs.of(this);
  }
}

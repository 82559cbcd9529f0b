/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

/**
 * Paths and query parameters of the operators' API.
 *
 * <p>Constants only; safe for use by several threads.
 *
 * @since 0.1
 */
public final class OperatorPaths {
  /** What every path begins with. */
  public static final String PREFIX = "/operator/v1";

  /** The configuration. */
  public static final String CONFIGURATION = PREFIX + "/configuration";

  /** Changes: proposed by POST, read by GET. */
  public static final String CHANGES = PREFIX + "/changes";

  /** Why a request would go where. */
  public static final String EXPLANATION = PREFIX + "/explanation";

  /** The state of the node. */
  public static final String STATUS = PREFIX + "/status";

  /** Where a revision is in force. */
  public static final String ROLLOUT = PREFIX + "/rollout";

  /** Graceful shutdown of the node. */
  public static final String DRAIN = PREFIX + "/drain";

  /**
   * Requests under which upstreams ended, at the metrics address of a relay node: listed by GET;
   * one is released by DELETE of its name below.
   */
  public static final String QUARANTINE = "/quarantine";

  /** The limits that upstreams name, at the metrics address of a relay node; read by GET. */
  public static final String UPSTREAM_LIMITS = "/upstream-limits";

  /** Whether a change is only checked. */
  public static final String DRY_RUN = "dryRun";

  /** The first revision wanted. */
  public static final String FROM = "from";

  /** The most entries wanted. */
  public static final String LIMIT = "limit";

  /** The revision asked about. */
  public static final String REVISION = "revision";

  /** The model of a request to explain. */
  public static final String MODEL = "model";

  /** The path of a request to explain. */
  public static final String PATH = "path";

  /** The workspace of a request to explain. */
  public static final String WORKSPACE = "workspace";

  /** The length of the prompt of a request to explain. */
  public static final String PROMPT_TOKENS = "promptTokens";

  private OperatorPaths() {}
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import java.util.Optional;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.WorkspaceName;

/**
 * A request whose routing is to be explained; it is not executed.
 *
 * <p>Invariant: either the model or the path is present. Immutable and safe for use by several
 * threads.
 *
 * @param model the model of a completion; empty for a plain call
 * @param path the path of a plain call; empty for a completion
 * @param workspace the caller's workspace
 * @param promptTokens the length of the prompt in tokens, at least 1; ignored for a plain call
 * @since 0.1
 */
public record ExplainRequest(
    Optional<ModelName> model, Optional<String> path, WorkspaceName workspace, int promptTokens) {
  /** The prompt length in tokens that is assumed if none is given. */
  public static final int DEFAULT_PROMPT_TOKENS = 1000;

  /** Checks that exactly one of model and path is present and that the prompt is not empty. */
  public ExplainRequest {
    if (model.isPresent() == path.isPresent()) {
      throw new IllegalArgumentException("give either a model or a path");
    }
    if (promptTokens < 1) {
      throw new IllegalArgumentException(
          "promptTokens is " + promptTokens + ": use a number of at least 1");
    }
  }
}

/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The expected answers of the stand-in service, as pure functions.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ServiceOracle {
  private ServiceOracle() {}

  /**
   * Returns the body of the answer to a lookup.
   *
   * @param pathAndQuery the path with its query, as sent
   * @return the body, JSON
   */
  public static String lookup(String pathAndQuery) {
    return "{\"path\":\"" + pathAndQuery + "\",\"value\":\"" + digest(pathAndQuery) + "\"}";
  }

  /**
   * Returns the body of the answer to a call that changes state.
   *
   * @param path the path, as sent
   * @param reference the value of the body's reference field
   * @param run the number of executions of the reference including this one, 1 for the first
   * @return the body, JSON
   */
  public static String change(String path, String reference, long run) {
    return "{\"path\":\"" + path + "\",\"ref\":\"" + reference + "\",\"run\":" + run + "}";
  }

  private static String digest(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }
}

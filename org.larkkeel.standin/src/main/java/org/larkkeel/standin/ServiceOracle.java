/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The answers of the plain service, as pure functions.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ServiceOracle {
  private ServiceOracle() {}

  /**
   * The body of the answer to a lookup.
   *
   * @param pathAndQuery the path with its query, as sent
   * @return the body, JSON
   */
  public static String lookup(String pathAndQuery) {
    return "{\"path\":\"" + pathAndQuery + "\",\"value\":\"" + digest(pathAndQuery) + "\"}";
  }

  /**
   * The body of the answer to a call that changes something.
   *
   * @param path the path, as sent
   * @param reference the value of the body's reference field
   * @param run how many times the reference has now run; 1 if it runs once
   * @return the body, JSON
   */
  public static String change(String path, String reference, long run) {
    return "{\"path\":\"" + path + "\",\"ref\":\"" + reference + "\",\"run\":" + run + "}";
  }

  private static String digest(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }
}

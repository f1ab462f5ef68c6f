/** DOC: Loads answers files for the stand-ins. */
#ifndef STANDINS_ANSWERS_H
#define STANDINS_ANSWERS_H

#include "masticvane/config.h"

/**
 * Standin_ReadAnswers() - Generate a configuration from an answers file.
 * @path: file to read
 *
 * Prints what is wrong with the answers to stderr.
 *
 * Return: deployment with ids and buckets, NULL when the file is unreadable
 * or has findings.  Release it with MvDeployment_Unref().
 */
mv_deployment_t *Standin_ReadAnswers(const char *path);

#endif

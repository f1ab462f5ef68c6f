/** DOC: Answers as the stand-ins read them. */
#ifndef STANDINS_ANSWERS_H
#define STANDINS_ANSWERS_H

#include "masticvane/config.h"

/** Standin_ReadAnswers() - Generated from a file; NULL after printing why. */
mv_deployment_t *Standin_ReadAnswers(const char *path);

#endif
